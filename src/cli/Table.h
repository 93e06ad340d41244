// Prints JSON responses in readable form: fields as lines, lists of objects as
// tables.
#ifndef hyssoppaddle_cli_Table_h
#define hyssoppaddle_cli_Table_h

#include <nlohmann/json_fwd.hpp>

#include <iosfwd>

namespace hyssoppaddle::cli {

void
PrintDocument(std::ostream& aStream, const nlohmann::json& aDocument);

} // namespace hyssoppaddle::cli

#endif
