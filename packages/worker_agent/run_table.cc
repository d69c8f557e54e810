#include "packages/worker_agent/run_table.h"

#include <algorithm>

namespace carobrill::worker_agent {

using workload::RunEnd;

namespace {

RunKey KeyOf(const DesiredRun& run) {
  return {run.task, run.run};
}

bool SameRuns(const std::vector<ListedRun>& a,
              const std::vector<ListedRun>& b) {
  return std::ranges::equal(a, b, [](const auto& x, const auto& y) {
    return x.task == y.task && x.run == y.run;
  });
}

bool SameEnds(const std::vector<ListedRunEnd>& a,
              const std::vector<ListedRunEnd>& b) {
  return std::ranges::equal(a, b, {}, &ListedRunEnd::number,
                            &ListedRunEnd::number);
}

}  // namespace

void RunTable::Reset() {
  this->desired_runs.clear();
  this->SetLists({}, {});
  this->unexpected.clear();
  this->exited = false;
  this->restarted = false;
  this->orders_received = false;
  this->starts_held = false;
  ++this->version;
}

void RunTable::SetDesired(std::vector<DesiredRun> desired,
                          Instant now,
                          bool maybe_started) {
  std::map<RunKey, State> next;
  for (DesiredRun& run : desired) {
    const RunKey key = KeyOf(run);
    State state;
    const auto known = this->desired_runs.find(key);
    if (known != this->desired_runs.end()) {
      state = std::move(known->second);
      // The planner sends the payload only until it knows that the run has
      // started.
      if (!run.started) {
        state.desired = std::move(run);
      } else {
        state.desired.stop = run.stop;
        state.desired.started = true;
      }
    } else {
      state.desired = std::move(run);
      state.retry_at = now;
      state.start_sent = maybe_started;
      state.start_unanswered = maybe_started;
      // An earlier process of the agent may have started the run.
      state.confirmed = this->IsListedRunning(key);
      if (this->exited) {
        this->MarkEnded(state, RunEnd::kWorkerLost);
      }
    }
    if (state.desired.started || state.confirmed) {
      state.listed_from = std::min(state.listed_from, now);
    }
    next.emplace(key, std::move(state));
  }
  this->desired_runs = std::move(next);
  this->orders_received = true;
  this->starts_held = false;
}

RunTraits RunTable::TraitsOf(const RunKey& run) const {
  const auto found = this->desired_runs.find(run);
  return found == this->desired_runs.end() ? RunTraits()
                                           : found->second.desired.traits;
}

bool RunTable::MayHoldResources(const RunKey& run, const State& state) const {
  return !state.ended && !this->listed_ends.contains(run) &&
         (state.desired.started || state.confirmed || state.start_in_flight ||
          state.start_unanswered || this->IsListedRunning(run));
}

workload::Resources RunTable::ResourcesInUse() const {
  workload::Resources in_use;
  for (const auto& [key, state] : this->desired_runs) {
    if (this->MayHoldResources(key, state)) {
      in_use += state.desired.demand;
    }
  }
  return in_use;
}

// Ends a run whose start was rejected or must not be repeated. An earlier
// unanswered attempt may still be executed, so it is stopped first.
void RunTable::Withdraw(State& state, Instant now) {
  if (state.start_unanswered) {
    state.desired.stop = true;
    state.retry_at = now;
  } else {
    this->MarkEnded(state, RunEnd::kRefused);
  }
}

bool RunTable::MustStart(const RunKey& run, const State& state) const {
  return !this->starts_held && !state.desired.stop && !state.desired.started &&
         !state.confirmed && !state.closed && !state.start_in_flight &&
         !this->IsListedRunning(run);
}

// Calls to the worker are sent one after another by a slow processor. Too many
// starts at once would time out before they are sent, and keep the renewal of
// the leases waiting. Each job gets its share, so that a job of thousands of
// tasks does not keep others from starting.
std::set<RunKey> RunTable::SelectStarts(Instant now) const {
  std::size_t in_flight = 0;
  std::map<JobId, std::vector<RunKey>> due;
  std::size_t most_of_job = 0;
  for (const auto& [key, state] : this->desired_runs) {
    in_flight += state.start_in_flight ? 1 : 0;
    if (!state.ended && now >= state.retry_at && this->MustStart(key, state) &&
        !this->listed_ends.contains(key)) {
      auto& runs = due[key.first.job];
      runs.push_back(key);
      most_of_job = std::max(most_of_job, runs.size());
    }
  }
  std::set<RunKey> selected;
  for (std::size_t i = 0; i < most_of_job; ++i) {
    for (const auto& [job, runs] : due) {
      if (in_flight + selected.size() >= this->settings.max_starts_in_flight) {
        return selected;
      }
      if (i < runs.size()) {
        selected.insert(runs[i]);
      }
    }
  }
  return selected;
}

// An unanswered start may still be executed. A run that is no longer requested
// is therefore stopped before its end is reported, so that the worker rejects
// the late start. The planner that ordered a run may have known a larger
// capacity, and the worker may not check it.
DueOrders RunTable::TakeDue(Instant now) {
  DueOrders due;
  workload::Resources in_use = this->ResourcesInUse();
  const std::set<RunKey> starts = this->SelectStarts(now);
  for (auto& [key, state] : this->desired_runs) {
    if (state.ended || this->listed_ends.contains(key) ||
        now < state.retry_at) {
      continue;
    }
    const bool unconfirmed_while_draining =
        this->draining && !state.confirmed && !state.desired.started;
    if (unconfirmed_while_draining && !state.start_sent) {
      this->MarkEnded(state, RunEnd::kRefused);
      continue;
    }
    if (!unconfirmed_while_draining && this->MustStart(key, state)) {
      if (!starts.contains(key)) {
        due.starts_left = true;
        continue;
      }
      const workload::Resources before = in_use;
      if (!this->MayHoldResources(key, state)) {
        in_use += state.desired.demand;
      }
      if (in_use.FitsIn(this->capacity)) {
        state.start_in_flight = true;
        state.start_sent = true;
        due.starts.push_back(state.desired);
        continue;
      }
      in_use = before;
      due.withdrawn.push_back(key);
      this->Withdraw(state, now);
      if (state.ended) {
        continue;
      }
    }
    if (state.desired.stop || state.vanished || unconfirmed_while_draining) {
      if (!state.stop_in_flight && !state.stop_done) {
        state.stop_in_flight = true;
        due.stops.push_back(key);
      }
    }
  }
  for (auto& [key, seen] : this->unexpected) {
    if (now >= seen.After(this->settings.unexpected_grace_ms)) {
      seen = now;
      due.stops.push_back(key);
    }
  }
  return due;
}

void RunTable::OnStart(const RunKey& run, OrderResult result, Instant now) {
  const auto found = this->desired_runs.find(run);
  if (found == this->desired_runs.end()) {
    return;
  }
  State& state = found->second;
  state.start_in_flight = false;
  switch (result) {
    case OrderResult::kDone:
      state.confirmed = true;
      state.listed_from = std::min(state.listed_from, now);
      return;
    case OrderResult::kNoCapacity:
    case OrderResult::kTicketRefused:
    case OrderResult::kMalformed:
    case OrderResult::kUnhealthy:
      this->Withdraw(state, now);
      return;
    case OrderResult::kOutdated:
      // An earlier, unanswered start may have run to its end. Only lists that
      // are requested from now on tell.
      state.closed = true;
      state.closed_at = now;
      return;
    default:
      state.start_unanswered =
          state.start_unanswered || result == OrderResult::kNoAnswer;
      state.retry_at = now.After(this->settings.retry_delay_ms);
      return;
  }
}

void RunTable::OnStop(const RunKey& run, OrderResult result, Instant now) {
  const auto found = this->desired_runs.find(run);
  if (found == this->desired_runs.end()) {
    return;
  }
  State& state = found->second;
  state.stop_in_flight = false;
  const bool conclusive =
      result == OrderResult::kDone || result == OrderResult::kOutdated;
  if (!conclusive) {
    state.retry_at = now.After(this->settings.retry_delay_ms);
    return;
  }
  state.stop_done = true;
  state.closed = true;
  state.closed_at = now;
}

void RunTable::OnLists(const LeaseReply& reply, Instant sent, Instant now) {
  if (!SameRuns(this->running, reply.running) ||
      !SameEnds(this->ended, reply.ended)) {
    ++this->version;
  }
  this->SetLists(reply.running, reply.ended);
  for (auto& [key, state] : this->desired_runs) {
    const auto end = this->listed_ends.find(key);
    if (this->restarted && end != this->listed_ends.end()) {
      this->MarkEnded(state, end->second);
    } else if (this->IsListedRunning(key)) {
      state.confirmed = true;
      state.listed_from = std::min(state.listed_from, now);
    } else if (end == this->listed_ends.end()) {
      this->CheckUnlisted(state, reply, sent);
    }
  }
  // Before the first orders arrive, it is unknown which runs were ordered.
  std::map<RunKey, Instant> remaining;
  for (const ListedRun& run :
       this->orders_received ? this->running : std::vector<ListedRun>()) {
    const RunKey key{run.task, run.run};
    if (!this->desired_runs.contains(key)) {
      const auto seen = this->unexpected.find(key);
      remaining.emplace(key,
                        seen == this->unexpected.end() ? now : seen->second);
    }
  }
  this->unexpected = std::move(remaining);
}

void RunTable::SetLists(std::vector<ListedRun> running,
                        std::vector<ListedRunEnd> ended) {
  this->running = std::move(running);
  this->ended = std::move(ended);
  this->listed_running.clear();
  for (const ListedRun& run : this->running) {
    this->listed_running.emplace(run.task, run.run);
  }
  this->listed_ends.clear();
  for (const ListedRunEnd& end : this->ended) {
    this->listed_ends.emplace(RunKey{end.task, end.run}, end.end);
  }
}

// A run that is listed neither as running nor as ended has ended once the
// worker rejects a late start of it.
void RunTable::CheckUnlisted(State& state,
                             const LeaseReply& reply,
                             Instant sent) {
  if (state.ended || reply.ends_truncated) {
    return;
  }
  if (!state.closed) {
    state.vanished =
        state.vanished || (!this->restarted && sent > state.listed_from);
    return;
  }
  if (sent > state.closed_at) {
    const bool started = state.confirmed || state.desired.started;
    const RunEnd unlisted = started ? RunEnd::kStopped : RunEnd::kRefused;
    this->MarkEnded(state, this->restarted ? state.end_by_exit : unlisted);
  }
}

RunEnd RunTable::EndByExit(const RunKey& run,
                           const State& state,
                           WorkerExit exit) const {
  if (this->restarted) {
    return state.end_by_exit;
  }
  const bool crashed =
      exit == WorkerExit::kCrash && this->MayHoldResources(run, state);
  return crashed ? RunEnd::kWorkerCrashed : RunEnd::kWorkerLost;
}

// Starts in flight may still arrive at the new process. After the stop it
// rejects them.
void RunTable::OnWorkerRestarted(WorkerExit exit, Instant now) {
  for (auto& [key, state] : this->desired_runs) {
    state.end_by_exit = this->EndByExit(key, state, exit);
    state.desired.stop = true;
    state.start_in_flight = false;
    state.start_sent = true;
    state.stop_in_flight = false;
    state.stop_done = false;
    state.closed = false;
    state.retry_at = now;
  }
  this->restarted = true;
  this->SetLists({}, {});
  this->unexpected.clear();
  ++this->version;
}

void RunTable::OnWorkerGone(WorkerExit exit) {
  for (auto& [key, state] : this->desired_runs) {
    this->MarkEnded(state, this->EndByExit(key, state, exit));
  }
  this->exited = true;
  this->SetLists({}, {});
  this->unexpected.clear();
  ++this->version;
}

bool RunTable::AllEnded() const {
  return std::ranges::all_of(this->desired_runs, [this](const auto& entry) {
    return entry.second.ended || this->listed_ends.contains(entry.first);
  });
}

std::vector<ListedRunEnd> RunTable::Ends() const {
  std::vector<ListedRunEnd> ends = this->ended;
  for (const auto& [key, state] : this->desired_runs) {
    if (state.ended && !this->listed_ends.contains(key)) {
      ends.push_back({0, key.first, key.second, state.end, {}});
    }
  }
  return ends;
}

void RunTable::MarkEnded(State& state, RunEnd end) {
  if (!state.ended) {
    state.ended = true;
    state.end = end;
    ++this->version;
  }
}

}  // namespace carobrill::worker_agent
