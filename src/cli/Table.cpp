// Plain text tables; each column is as wide as its longest cell.
#include "cli/Table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace hyssoppaddle::cli {

namespace {

constexpr int kColumnGap = 2;

std::string
CellText(const nlohmann::json& aValue)
{
  if (aValue.is_string()) {
    return aValue.get<std::string>();
  }
  if (aValue.is_array()) {
    std::string text;
    for (const nlohmann::json& item : aValue) {
      text += (text.empty() ? "" : ",") + CellText(item);
    }
    return text.empty() ? "-" : text;
  }
  return aValue.is_null() ? "-" : aValue.dump();
}

bool
IsTable(const nlohmann::json& aValue)
{
  return aValue.is_array() && !aValue.empty() &&
         std::all_of(aValue.begin(), aValue.end(), [](const auto& aItem) {
           return aItem.is_object();
         });
}

std::vector<std::string>
ColumnsOf(const nlohmann::json& aRows)
{
  std::vector<std::string> columns;
  std::set<std::string> seen;
  for (const nlohmann::json& row : aRows) {
    for (const auto& [name, value] : row.items()) {
      if (seen.insert(name).second) {
        columns.push_back(name);
      }
    }
  }
  return columns;
}

void
PrintTable(std::ostream& aStream, const nlohmann::json& aRows)
{
  const std::vector<std::string> columns = ColumnsOf(aRows);
  std::vector<std::vector<std::string>> lines{ columns };
  for (const nlohmann::json& row : aRows) {
    std::vector<std::string> line;
    line.reserve(columns.size());
    for (const std::string& column : columns) {
      line.push_back(row.contains(column) ? CellText(row[column]) : "-");
    }
    lines.push_back(std::move(line));
  }
  std::vector<std::size_t> widths(columns.size(), 0);
  for (const auto& line : lines) {
    for (std::size_t column = 0; column < line.size(); ++column) {
      widths[column] = std::max(widths[column], line[column].size());
    }
  }
  for (const auto& line : lines) {
    for (std::size_t column = 0; column + 1 < line.size(); ++column) {
      aStream << std::left
              << std::setw(static_cast<int>(widths[column]) + kColumnGap)
              << line[column];
    }
    aStream << (line.empty() ? "" : line.back()) << '\n';
  }
}

} // namespace

void
PrintDocument(std::ostream& aStream, const nlohmann::json& aDocument)
{
  if (!aDocument.is_object()) {
    aStream << CellText(aDocument) << '\n';
    return;
  }
  for (const auto& [name, value] : aDocument.items()) {
    if (!IsTable(value)) {
      aStream << name << ": " << CellText(value) << '\n';
    }
  }
  for (const auto& [name, value] : aDocument.items()) {
    if (IsTable(value)) {
      aStream << '\n' << name << '\n';
      PrintTable(aStream, value);
    }
  }
}

} // namespace hyssoppaddle::cli
