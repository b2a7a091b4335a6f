#ifndef CHICORYSTEP_CORE_TABLE_H_
#define CHICORYSTEP_CORE_TABLE_H_

#include <cstddef>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chicorystep {

// The rows of one kind of entity, stored contiguously so that systems can
// iterate over them, with an index by key. Erasing moves the last row into the
// gap, so pointers and positions are valid only until the next insert or erase.
template <typename Key, typename Row>
struct Table {
  std::vector<Key> keys;
  std::vector<Row> rows;
  std::unordered_map<Key, std::size_t> index;

  [[nodiscard]] std::size_t size() const noexcept { return this->rows.size(); }
  [[nodiscard]] bool empty() const noexcept { return this->rows.empty(); }

  // Returns the row of `key`, or null when there is none.
  [[nodiscard]] Row* find(const Key& key) noexcept {
    const auto found = this->index.find(key);
    return found == this->index.end() ? nullptr : &this->rows[found->second];
  }
  [[nodiscard]] const Row* find(const Key& key) const noexcept {
    const auto found = this->index.find(key);
    return found == this->index.end() ? nullptr : &this->rows[found->second];
  }

  // Inserts or replaces the row of `key`.
  Row& insert(const Key& key, Row row) {
    if (Row* existing = this->find(key)) {
      *existing = std::move(row);
      return *existing;
    }
    this->index.emplace(key, this->rows.size());
    this->keys.push_back(key);
    this->rows.push_back(std::move(row));
    return this->rows.back();
  }

  // Removes the row of `key`. Returns false when there was none.
  bool erase(const Key& key) {
    const auto found = this->index.find(key);
    if (found == this->index.end()) {
      return false;
    }
    const std::size_t gap = found->second;
    this->index.erase(found);
    if (const std::size_t last = this->rows.size() - 1; gap != last) {
      this->keys[gap] = std::move(this->keys[last]);
      this->rows[gap] = std::move(this->rows[last]);
      this->index[this->keys[gap]] = gap;
    }
    this->keys.pop_back();
    this->rows.pop_back();
    return true;
  }

  // Removes every row for which `predicate(key, row)` returns true.
  template <typename Predicate>
  void EraseIf(Predicate predicate) {
    for (std::size_t i = 0; i < this->rows.size();) {
      if (predicate(this->keys[i], this->rows[i])) {
        this->erase(Key(this->keys[i]));
      } else {
        ++i;
      }
    }
  }
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_CORE_TABLE_H_
