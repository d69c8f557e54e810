#include "packages/gateway/configuration.h"

namespace carobrill::gateway {

const Queue* Configuration::FindQueue(std::string_view host,
                                      std::string_view path) const {
  const Queue* best = nullptr;
  for (const Queue& queue : this->queues) {
    if (queue.host == host && path.starts_with(queue.path_prefix) &&
        (best == nullptr ||
         queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

}  // namespace carobrill::gateway
