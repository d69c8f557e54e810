#ifndef PACKAGES_CORE_RESULT_H_
#define PACKAGES_CORE_RESULT_H_

#include <boost/leaf.hpp>
#include <optional>
#include <utility>

namespace carobrill {

/// A value, or a failure with a typed error object (Boost.LEAF).
template <typename T>
using Result = boost::leaf::result<T>;

/// Returns a failure with `error`; each kind of failure has its own error type.
template <typename Error>
boost::leaf::error_id Fail(Error&& error) {
  return boost::leaf::new_error(std::forward<Error>(error));
}

/// Calls `function` and returns its error of type `Error`, or nothing when it
/// succeeds or fails with an error of another type.
template <typename Error, typename Function>
std::optional<Error> ErrorFrom(Function&& function) {
  std::optional<Error> caught;
  boost::leaf::try_handle_all(
      [&]() -> Result<void> {
        auto result = std::forward<Function>(function)();
        if (!result) {
          return result.error();
        }
        return {};
      },
      [&](const Error& error) { caught = error; }, [] {});
  return caught;
}

/// Calls `function`, which returns Result<T>, and returns its value. On
/// failure, calls `on_error(const Error&)` and returns nothing; if the error
/// has another type, the argument is `Error{}`.
template <typename Error, typename Function, typename OnError>
auto ValueOr(Function&& function, OnError&& on_error)
    -> std::optional<std::decay_t<decltype(function().value())>> {
  using Value = std::decay_t<decltype(function().value())>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<std::optional<Value>> {
        auto result = std::forward<Function>(function)();
        if (!result) {
          return result.error();
        }
        return std::optional<Value>(std::move(result.value()));
      },
      [&](const Error& error) -> std::optional<Value> {
        on_error(error);
        return std::nullopt;
      },
      [&]() -> std::optional<Value> {
        on_error(Error{});
        return std::nullopt;
      });
}

}  // namespace carobrill

#endif  // PACKAGES_CORE_RESULT_H_
