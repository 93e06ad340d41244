// Calls from callers, upstreams and operators as decoded by the protocol
// adapter, and the replies that the adapter encodes.
#ifndef hyssoppaddle_node_Calls_h
#define hyssoppaddle_node_Calls_h

#include "dispatch/Announcement.h"
#include "dispatch/DataCentreEvacuation.h"
#include "work/Commands.h"

#include <optional>
#include <string>
#include <variant>

namespace hyssoppaddle::node {

// Identifies a queue by the host and path where it is served, and the caller by
// its key.
struct QueueTarget
{
  std::string host;
  // The queue's path prefix, followed by the job ID if there is one.
  std::string path;
  std::string key; // empty when the caller sent no key
};

struct SubmitCall
{
  QueueTarget queueTarget;
  std::optional<work::JobSpec> spec; // absent when the body is malformed
};

struct ShowCall // shows a job, or the queue when the path contains no job ID
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

// Orders that nothing is started in a data centre, or withdraws that order.
struct EvacuateCall
{
  DataCentreId dataCentre;
  bool requested = false; // false: withdrawn
  std::string by;         // who asks, as the caller states it
};

struct ShowEvacuationsCall
{};

// A call that cannot be decoded. The reason is sent to the caller and logged.
struct MalformedCall
{
  std::string reason;
  bool knownPath = true; // false when nothing is served at the path
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
                          EvacuateCall,
                          ShowEvacuationsCall,
                          MalformedCall>;

// Calls of one class wait in one line for the leader.
enum class CallClass : std::uint8_t
{
  Order, // changes by operators and clients other than new jobs; departures
  Submission, // of a new job
  Read,
  Report, // status of an upstream
  Count,
};

enum class Outcome : std::uint8_t
{
  Done,             // accepted and committed, or already in that state
  JobShown,         // sets `job`
  QueueShown,       // sets `pending`
  SetupShown,       // sets `document`
  WaveShown,        // sets `waveCompleted`
  Announced,        // sets `announceTo`
  EvacuationsShown, // sets `document`
  NoSuchJob,
  NoSuchQueue,
  NoSuchWave,
  NoSuchDataCentre, // sets `reason`
  UnknownKey,
  Malformed,   // sets `reason`
  Overloaded,  // not run; sets `retryAfter`
  Unavailable, // not run; sets `retryAfter`
  Undecided,   // may or may not have been executed
  NotLeading,  // not run, because another node is the leader
  Redirected,  // not run; sets `location`
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
  std::string location; // URL of the same resource on the leader
  Duration retryAfter{ 0 };
};

} // namespace hyssoppaddle::node

#endif
