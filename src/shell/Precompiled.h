// Heavy library headers that most shell units share; compiled once.
#ifndef hyssoppaddle_shell_Precompiled_h
#define hyssoppaddle_shell_Precompiled_h

#include "shell/Asio.h"

#include <nlohmann/json.hpp>

#endif
