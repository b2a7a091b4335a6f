#include "chicorystep/programs/ctl_render.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <vector>

namespace chicorystep {
namespace impl {

std::string RenderValue(const Json& value) {
  if (value.is_string()) {
    return value.get<std::string>();
  }
  return value.is_null() ? "-" : value.dump();
}

bool IsListOfObjects(const Json& value) {
  return value.is_array() && !value.empty() && value.front().is_object();
}

// Returns the names of the members that are shown as columns, in the order of
// their first appearance.
std::vector<std::string> CollectColumns(const Json& rows) {
  std::vector<std::string> columns;
  for (const Json& row : rows) {
    for (const auto& [name, value] : row.items()) {
      if (!IsListOfObjects(value) &&
          std::find(columns.begin(), columns.end(), name) == columns.end()) {
        columns.push_back(name);
      }
    }
  }
  return columns;
}

std::string RenderTable(const Json& rows, std::string_view indent) {
  const std::vector<std::string> columns = CollectColumns(rows);
  std::vector<std::vector<std::string>> lines = {columns};
  for (const Json& row : rows) {
    auto& line = lines.emplace_back();
    for (const std::string& column : columns) {
      line.push_back(row.contains(column) ? RenderValue(row[column]) : "-");
    }
  }
  std::vector<std::size_t> widths(columns.size());
  for (const auto& line : lines) {
    for (std::size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  std::string text;
  for (const auto& line : lines) {
    std::string rendered(indent);
    for (std::size_t i = 0; i < line.size(); ++i) {
      rendered += fmt::format("{:<{}}  ", line[i], widths[i]);
    }
    rendered.erase(rendered.find_last_not_of(' ') + 1);
    text += rendered + '\n';
  }
  return text;
}

std::string Render(const Json& object, const std::string& path);

// Renders the lists of objects nested in the rows of a table, each headed by
// the first member of its row.
std::string RenderNested(const Json& rows, const std::string& path) {
  std::string text;
  for (const Json& row : rows) {
    for (const auto& [name, value] : row.items()) {
      if (IsListOfObjects(value)) {
        text += Render(Json{{name, value}},
                       fmt::format("{} {} ", path, RenderValue(row.front())));
      }
    }
  }
  return text;
}

std::string Render(const Json& object, const std::string& path) {
  std::string text;
  for (const auto& [name, value] : object.items()) {
    if (!value.is_structured()) {
      text += fmt::format("{}{}: {}\n", path, name, RenderValue(value));
    }
  }
  for (const auto& [name, value] : object.items()) {
    if (value.is_object()) {
      text += Render(value, fmt::format("{}{} ", path, name));
    } else if (IsListOfObjects(value)) {
      text += fmt::format("\n{}{}\n{}", path, name, RenderTable(value, "  "));
      text += RenderNested(value, path + name);
    } else if (value.is_array()) {
      text += fmt::format("{}{}: {}\n", path, name,
                          value.empty() ? "none" : value.dump());
    }
  }
  return text;
}

}  // namespace impl

std::string RenderAsText(const Json& document) {
  return impl::Render(document, "");
}

}  // namespace chicorystep
