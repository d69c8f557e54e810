#include "packages/agent/gang_action.h"

namespace carobrill::agent {
namespace {

constexpr std::uint32_t kLargeGang = 16;

}  // namespace

// A watcher receives and answers one heartbeat per member and interval. With
// 64 members at half a second that exceeds the 16 KB/s that a node may spend.
std::int64_t GangTiming::AliveMs(std::uint32_t members) const {
  return members < kLargeGang ? this->alive_ms : 2 * this->alive_ms;
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
