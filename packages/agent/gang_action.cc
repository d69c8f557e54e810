#include "packages/agent/gang_action.h"

namespace carobrill::agent {
namespace {

constexpr std::uint32_t kLargeGangMembers = 16;

}  // namespace

// A watcher receives and answers one heartbeat per member and interval. With
// 64 members and an interval of half a second, that would exceed the limit of
// 16 KB/s per node.
std::int64_t GangTiming::HeartbeatIntervalMs(std::uint32_t members) const {
  return members < kLargeGangMembers ? this->heartbeat_interval_ms
                                     : 2 * this->heartbeat_interval_ms;
}

std::string TaskNameOf(const MemberKey& key) {
  return key.job.value + "." + std::to_string(key.attempt) + "." +
         std::to_string(key.member);
}

MemberKey KeyOf(const rpc::GangMember& spec) {
  return MemberKey{JobId(spec.job()), spec.attempt(), spec.member()};
}

TaskCell CellOf(const rpc::GangMember& spec) {
  return TaskCell{spec.first_accelerator(), spec.accelerators(),
                  spec.cores_milli(), spec.memory_mb()};
}

}  // namespace carobrill::agent
