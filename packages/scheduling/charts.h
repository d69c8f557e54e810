#ifndef PACKAGES_SCHEDULING_CHARTS_H_
#define PACKAGES_SCHEDULING_CHARTS_H_

#include <string>

#include "packages/core/state_chart.h"
#include "packages/scheduling/job.h"
#include "packages/scheduling/worker.h"

namespace carobrill::scheduling {

/// State machines of gangs and workers.
struct Charts {
  StateChart<JobState, JobEvent> gang;
  StateChart<WorkerState, WorkerEvent> worker;

  /// Loads gang.json and worker.json from `directory`; fails with ChartError.
  static Result<Charts> Load(const std::string& directory) {
    BOOST_LEAF_AUTO(gang,
                    (StateChart<JobState, JobEvent>::Load(directory, "gang")));
    BOOST_LEAF_AUTO(worker, (StateChart<WorkerState, WorkerEvent>::Load(
                                directory, "worker")));
    return Charts{gang, worker};
  }
};

}  // namespace carobrill::scheduling

#endif  // PACKAGES_SCHEDULING_CHARTS_H_
