// Problem details for requests that are refused while they are read. Nothing of
// them has run.
#ifndef hyssoppaddle_shell_RequestProblems_h
#define hyssoppaddle_shell_RequestProblems_h

#include "shell/Asio.h"
#include "shell/Problems.h"

namespace hyssoppaddle::shell {

// The memory budget grants no more.
ErrorValue
MemoryError();

ProblemDetail
RequestProblem(const ErrorValue& aError);
ProblemDetail
HeaderProblem(const ErrorValue& aError, bool aTimedOut);
ProblemDetail
BodyProblem(const ErrorValue& aError, bool aTimedOut);

} // namespace hyssoppaddle::shell

#endif
