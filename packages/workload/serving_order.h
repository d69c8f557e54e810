#ifndef PACKAGES_WORKLOAD_SERVING_ORDER_H_
#define PACKAGES_WORKLOAD_SERVING_ORDER_H_

#include "packages/core/name_table.h"

namespace carobrill::workload {

/// In which order JobPlanner serves waiting work of one priority. Each value
/// includes the rules of those before it.
enum class ServingOrder {
  /// Guaranteed jobs that have not started, then on time, late and too late
  /// jobs; each by slack.
  kSlack,
  /// Guaranteed jobs that have started before, and wait again, are served with
  /// those that have not started.
  kGuarantees,
  /// Below priority 0, accounts that hold far more than others are served last
  /// within their rank (AccountShares).
  kShares,
};

constexpr auto NamesOf(ServingOrder) {
  return MakeNameTable<ServingOrder>({{ServingOrder::kSlack, "slack"},
                                      {ServingOrder::kGuarantees, "guarantees"},
                                      {ServingOrder::kShares, "shares"}});
}

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_SERVING_ORDER_H_
