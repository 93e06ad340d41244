// Precompiled header: large library headers that most files of the shell use.
#ifndef hyssoppaddle_shell_Precompiled_h
#define hyssoppaddle_shell_Precompiled_h

#include "shell/Asio.h"

#include <nlohmann/json.hpp>

#endif
