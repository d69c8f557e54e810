#include <utility>

#include "packages/testing/fake_program.h"
#include "packages/testing/fake_worker.h"

// Usage: carobrill_fake_worker [--listen IP] [--port N] [--worker NAME]
//   [--cores N] [--memory-mb N] [--accelerators N]
int main(int argc, char** argv) {
  using carobrill::testing::FakeWorker;
  const auto options = carobrill::testing::PrepareFake(argc, argv);
  carobrill::testing::FakeWorkerCapacity size;
  if (options.values.contains("worker")) {
    size.worker = options.values.at("worker");
  }
  size.cores = static_cast<double>(options.Number("cores", 8));
  size.memory_mb = options.Number("memory-mb", size.memory_mb);
  size.accelerators = options.Number("accelerators", size.accelerators);
  FakeWorker worker(std::move(size));
  return carobrill::testing::ServeFake(options,
                                       [&](const auto& request, auto respond) {
                                         worker.Handle(request, respond);
                                       });
}
