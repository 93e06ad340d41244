// Calls that reach the leader from callers, upstreams and operators, after a
// protocol adapter has decoded them, and the replies that it encodes.
#ifndef hyssoppaddle_node_Calls_h
#define hyssoppaddle_node_Calls_h

#include "dispatch/Announcement.h"
#include "work/Commands.h"

#include <optional>
#include <string>
#include <variant>

namespace hyssoppaddle::node {

// Names a queue by where it is served, and who asks.
struct QueueTarget
{
  std::string host;
  std::string path; // the queue's prefix, then the job's ID if there is one
  std::string key;  // empty: none was presented
};

struct SubmitCall
{
  QueueTarget queueTarget;
  std::optional<work::JobSpec> spec; // absent when the body cannot be read
};

struct ShowCall // a job, or the queue when the path names none
{
  QueueTarget queueTarget;
};

struct CancelCall
{
  QueueTarget queueTarget;
};

struct AnnounceCall
{
  dispatch::Announcement announcement;
};

struct DepartCall
{
  InstanceId upstream;
};

struct PutSetupCall
{
  work::Setup setup;
};

struct GetSetupCall
{};

struct StartWaveCall
{
  std::uint64_t number = 0;
  work::Wave wave;
};

struct ShowWaveCall
{
  std::uint64_t number = 0;
};

// Cannot be read; aReason goes to the sender and the log.
struct MalformedCall
{
  std::string reason;
  bool knownPath = true; // false: nothing is served there
};

using Call = std::variant<SubmitCall,
                          ShowCall,
                          CancelCall,
                          AnnounceCall,
                          DepartCall,
                          PutSetupCall,
                          GetSetupCall,
                          StartWaveCall,
                          ShowWaveCall,
                          MalformedCall>;

enum class Outcome : std::uint8_t
{
  Done,       // accepted, recorded, or already so
  JobShown,   // with `job`
  QueueShown, // with `pending`
  SetupShown, // with `document`
  WaveShown,  // with `waveCompleted`
  Announced,  // with `announceTo`
  NoSuchJob,
  NoSuchQueue,
  NoSuchWave,
  UnknownKey,
  Malformed,   // with `reason`
  Overloaded,  // not run, with `retryAfter`
  Unavailable, // not run, with `retryAfter`
  Undecided,   // may or may not have been carried out
  NotLeading,  // not run here: another node leads
};

struct Reply
{
  Outcome outcome = Outcome::Unavailable;
  work::JobState job = work::JobState::Queued;
  std::uint64_t pending = 0;
  std::string document;
  bool waveCompleted = false;
  std::string announceTo; // control address of the leader
  std::string reason;
  Duration retryAfter{ 0 };
};

} // namespace hyssoppaddle::node

#endif
