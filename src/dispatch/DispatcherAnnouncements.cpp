// Announcements and departures of upstreams. Other writers can send them too,
// and they can be delayed past the end of their boot. One that contradicts the
// record is therefore checked with a call to the address that it names, and
// none of them proves that a run has ended.
#include "dispatch/Dispatcher.h"
#include "dispatch/Text.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

namespace {

// Upstreams announce themselves again, so further ones are left out.
constexpr std::size_t kMaxPendingAnnouncements = 64;
// A departing upstream ends within this time after its departure was answered.
constexpr Duration kDepartureTime = seconds(2);

bool
HasSamePlace(const work::Upstream& aOne, const work::Upstream& aOther)
{
  return aOne.address == aOther.address && aOne.service == aOther.service &&
         aOne.instance == aOther.instance;
}

bool
IsOutdated(const Announcement& aAnnouncement, const UpstreamSession& aSession)
{
  const work::Upstream& known = aSession.record;
  const work::Upstream& next = aAnnouncement.record;
  if (next.boot != known.boot) {
    // A boot that has never answered may not exist.
    return next.boot < known.boot && aSession.fenceConfirmed;
  }
  // A boot that drains does not become ready again. A new leader does not know
  // the sequence number.
  if (next.draining != known.draining) {
    return known.draining;
  }
  return aAnnouncement.sequence < aSession.sequence;
}

} // namespace

std::vector<work::Command>
Dispatcher::HandleAnnouncement(const Announcement& aAnnouncement, Time aNow)
{
  this->now = aNow;
  const work::Upstream& next = aAnnouncement.record;
  if (this->state.HasEnded(aAnnouncement.id, next.boot)) {
    return {}; // delayed since before that boot ended
  }
  const auto takenDown = this->owner.takenDown.find(aAnnouncement.id);
  if (takenDown != this->owner.takenDown.end() &&
      takenDown->second.boot == next.boot && aNow < takenDown->second.until) {
    return {}; // delayed since before the order was carried out
  }
  UpstreamSession* session = this->FindSession(aAnnouncement.id);
  if (session != nullptr && IsOutdated(aAnnouncement, *session)) {
    return {};
  }
  if (this->ContradictsRecord(aAnnouncement)) {
    this->CheckAnnouncement(aAnnouncement);
    if (session != nullptr && session->record.boot != next.boot) {
      this->SuspectOtherBoot(aAnnouncement.id, *session, "announcement");
    }
    return {};
  }
  if (session != nullptr) {
    session->sequence = std::max(session->sequence, aAnnouncement.sequence);
    session->lastAnnounced = aNow;
    if (aAnnouncement.leavesIn) {
      session->leavesBy = aNow + *aAnnouncement.leavesIn;
    }
    this->RecordCold(aAnnouncement, *session);
    if (next == session->record) {
      return {};
    }
  }
  return { work::SetUpstream{ aAnnouncement.id, next } };
}

void
Dispatcher::RecordCold(const Announcement& aAnnouncement,
                       UpstreamSession& aSession)
{
  if (aAnnouncement.coldFor.count() == 0) {
    return;
  }
  const bool wasCold = this->now < aSession.coldUntil;
  aSession.coldUntil = this->now + aAnnouncement.coldFor;
  if (!wasCold) {
    this->LogDecision("upstream_cold",
                      {},
                      { { "upstream", aAnnouncement.id.value },
                        { "data_centre", aSession.record.dataCentre.value },
                        { "cold_ms", Text(aAnnouncement.coldFor) } });
  }
}

bool
Dispatcher::ContradictsRecord(const Announcement& aAnnouncement) const
{
  const work::Upstream& next = aAnnouncement.record;
  const auto known = this->sessions.find(aAnnouncement.id);
  if (known != this->sessions.end()) {
    return known->second.record.boot != next.boot ||
           !HasSamePlace(known->second.record, next);
  }
  return std::any_of(
    this->sessions.begin(), this->sessions.end(), [&](const auto& aItem) {
      const work::Upstream& other = aItem.second.record;
      return other.address == next.address ||
             (!next.instance.empty() && other.instance == next.instance);
    });
}

// Asks the address in the announcement for its task lists. Only the boot itself
// answers with its ID and start time.
void
Dispatcher::CheckAnnouncement(const Announcement& aAnnouncement)
{
  const work::Upstream& next = aAnnouncement.record;
  const auto pending =
    std::find_if(this->pendingAnnouncements.begin(),
                 this->pendingAnnouncements.end(),
                 [&](const auto& aItem) {
                   return aItem.second.id == aAnnouncement.id &&
                          aItem.second.record.boot == next.boot &&
                          aItem.second.record.address == next.address;
                 });
  if (pending != this->pendingAnnouncements.end()) {
    if (aAnnouncement.sequence > pending->second.sequence) {
      pending->second = aAnnouncement;
    }
    return;
  }
  if (this->pendingAnnouncements.size() >= kMaxPendingAnnouncements) {
    return;
  }
  RenewLease ask;
  ask.token = ++this->lastToken;
  // The token of the recorded boot: a higher one would shut it out if it lives
  // on.
  ask.to = { aAnnouncement.id, next.address, this->FenceOf(aAnnouncement.id) };
  this->pendingAnnouncements[ask.token] = aAnnouncement;
  this->output.instructions.emplace_back(std::move(ask));
}

void
Dispatcher::OnAnnouncementChecked(const LeaseAnswer& aAnswer)
{
  const Announcement announcement =
    std::move(this->pendingAnnouncements.extract(aAnswer.token).mapped());
  const work::Upstream& next = announcement.record;
  const bool isConfirmed = aAnswer.answered && aAnswer.boot == next.boot;
  const UpstreamSession* known = this->FindSession(announcement.id);
  this->LogDecision(
    isConfirmed ? "announcement_confirmed" : "announcement_rejected",
    {},
    { { "upstream", announcement.id.value },
      { "boot", Text(next.boot) },
      { "address", next.address },
      { "instance", next.instance },
      { "recorded_boot", known == nullptr ? "" : Text(known->record.boot) },
      { "answer",
        aAnswer.wrongBoot  ? "another upstream"
        : aAnswer.answered ? "boot " + Text(aAnswer.boot)
                           : "none" } });
  const bool isOutdated = known != nullptr && IsOutdated(announcement, *known);
  if (isConfirmed && !isOutdated) {
    this->RecordConfirmed(announcement);
  }
}

void
Dispatcher::RecordConfirmed(const Announcement& aAnnouncement)
{
  const work::Upstream& next = aAnnouncement.record;
  for (auto& [id, other] : this->sessions) {
    if (id == aAnnouncement.id) {
      other.replacing = other.record.boot != next.boot;
      if (other.replacing) {
        other.otherBootSeenAt = this->now;
      }
      continue;
    }
    if (other.record.address == next.address) {
      this->AppendRunEnds(
        id, EndEvidence::AddressReused, this->output.commands);
      this->output.commands.emplace_back(work::RemoveUpstream{ id, false });
      continue;
    }
    if (next.instance.empty() || other.record.instance != next.instance) {
      continue;
    }
    // The answer does not prove that it runs on this instance.
    if (other.runs.empty()) {
      this->output.commands.emplace_back(work::RemoveUpstream{ id, false });
    } else {
      other.nextRenewAt = this->now;
    }
  }
  this->output.commands.emplace_back(
    work::SetUpstream{ aAnnouncement.id, next });
}

// The call names no boot, and the upstream ends only after it: its runs stay
// until it lists their ends or its lease expires. If it lives on, its next
// announcement records it again.
std::vector<work::Command>
Dispatcher::HandleDeparture(const InstanceId& aUpstream, Time aNow)
{
  this->now = aNow;
  UpstreamSession* session = this->FindSession(aUpstream);
  if (session == nullptr) {
    return {};
  }
  this->LogDecision("departure_announced",
                    {},
                    { { "upstream", aUpstream.value },
                      { "boot", Text(session->record.boot) },
                      { "runs", Text(session->runs.size()) } });
  session->departedAt = aNow;
  std::vector<work::Command> commands;
  if (session->runs.empty()) {
    commands.emplace_back(this->RemoveDeparted(aUpstream, *session));
  }
  return commands;
}

// A boot that drains receives no tasks again, so it may be listed as ended.
// Another one may live on; a delayed report must not bring it back at once.
work::RemoveUpstream
Dispatcher::RemoveDeparted(const InstanceId& aId,
                           const UpstreamSession& aSession)
{
  this->owner.takenDown[aId] = { aSession.record.boot,
                                 *aSession.departedAt + kDepartureTime };
  return { aId, aSession.record.draining && !aSession.replacing };
}

// An upstream that still answers some time after its departure was announced
// has not left.
void
Dispatcher::ClearDepartureIfAlive(UpstreamSession& aSession, Time aAsked)
{
  if (aSession.departedAt && aAsked > *aSession.departedAt + kDepartureTime) {
    aSession.departedAt.reset();
    this->dirtyServices.insert(aSession.record.service);
  }
}

} // namespace hyssoppaddle::dispatch
