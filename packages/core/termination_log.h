#ifndef PACKAGES_CORE_TERMINATION_LOG_H_
#define PACKAGES_CORE_TERMINATION_LOG_H_

namespace carobrill {

/// From now on, an error that ends the process is logged with its reason and
/// the call stack. Must be called after ConfigureLog(), before other threads
/// start.
void LogTermination();

}  // namespace carobrill

#endif  // PACKAGES_CORE_TERMINATION_LOG_H_
