#include "chicorystep/encoding/edit_record.h"

#include "chicorystep/encoding/config_fields.h"

namespace chicorystep {

template <typename Archive>
void VisitFields(Archive& archive, RouteChange& change) {
  archive("key", change.key);
  archive("base", change.base);
  archive("row", change.row);
}

template <typename Archive>
void VisitFields(Archive& archive, PoolChange& change) {
  archive("key", change.key);
  archive("base", change.base);
  archive("row", change.row);
}

template <typename Archive>
void VisitFields(Archive& archive, Edit& edit) {
  archive("author", edit.author);
  archive("routes", edit.routes);
  archive("pools", edit.pools);
}

std::string EncodeEdit(const Edit& edit) {
  return EncodeJson(edit);
}

Result<Edit, EncodingError> DecodeEdit(std::string_view data) {
  return DecodeJson<Edit>(data);
}

}  // namespace chicorystep
