#include "packages/gateway/planner_records.h"

#include "packages/core/address.h"
#include "packages/workload/workload.pb.h"

namespace carobrill::gateway {

namespace records = workload::records;

std::string EncodeClaim(const PlannerClaim& claim) {
  records::PlannerRecord record;
  record.set_instance(claim.instance.value);
  record.set_epoch(claim.epoch);
  record.set_beat(claim.heartbeat);
  record.set_resigned(claim.resigned);
  record.set_processor_millis(claim.processor_millis);
  record.set_successor(claim.successor.value);
  if (claim.earlier_leases_left_ms.has_value()) {
    record.set_earlier_leases_left_ms(*claim.earlier_leases_left_ms);
  }
  return record.SerializeAsString();
}

std::optional<PlannerClaim> DecodeClaim(const std::string& bytes) {
  records::PlannerRecord record;
  if (!record.ParseFromString(bytes) || record.epoch() == 0) {
    return std::nullopt;
  }
  PlannerClaim claim{InstanceId(record.instance()),
                     record.epoch(),
                     record.beat(),
                     record.resigned(),
                     record.processor_millis(),
                     InstanceId(record.successor()),
                     {}};
  if (record.has_earlier_leases_left_ms()) {
    claim.earlier_leases_left_ms = record.earlier_leases_left_ms();
  }
  return claim;
}

std::string EncodeHandover(const HandoverRequest& request) {
  records::HandoverRecord record;
  record.set_instance(request.instance.value);
  record.set_epoch(request.epoch);
  return record.SerializeAsString();
}

std::optional<HandoverRequest> DecodeHandover(const std::string& bytes) {
  records::HandoverRecord record;
  if (!record.ParseFromString(bytes) || record.epoch() == 0 ||
      record.instance().empty()) {
    return std::nullopt;
  }
  return HandoverRequest{InstanceId(record.instance()), record.epoch()};
}

std::string EncodeAddress(const ProcessAddress& address) {
  records::AgentRecord record;
  record.set_rpc_address(address.rpc_address);
  record.set_incarnation(address.incarnation);
  return record.SerializeAsString();
}

std::optional<ProcessAddress> DecodeAddress(const std::string& bytes) {
  records::AgentRecord record;
  if (!record.ParseFromString(bytes) || !IsHostAndPort(record.rpc_address())) {
    return std::nullopt;
  }
  return ProcessAddress{record.rpc_address(), record.incarnation()};
}

}  // namespace carobrill::gateway
