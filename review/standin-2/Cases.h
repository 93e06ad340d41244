// The cases of the review. Each returns 1 if the rule was broken, 0 if it held
// and 2 if the case could not run.
#ifndef hyssoppaddle_review_standin2_Cases_h
#define hyssoppaddle_review_standin2_Cases_h

#include "Record.h"

namespace review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

// Without aTrouble the disruption is left out.
int
LoseFirstDisk(Record& aRecord, bool aTrouble);
int
DropRouteDuringLastAttempt(Record& aRecord, bool aTrouble);
int
RestartLastingBesideLargeJobs(Record& aRecord, bool aTrouble);
int
CancelAfterLeaving(Record& aRecord, bool aTrouble);
int
RenameRoute(Record& aRecord, bool aTrouble);

} // namespace review

#endif
