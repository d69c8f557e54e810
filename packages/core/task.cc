#include "packages/core/task.h"

#include <pthread.h>

#include <future>
#include <memory>
#include <utility>

namespace carobrill {
namespace {

constexpr std::size_t kThreadNameLimit = 15;

gboolean RunOnce(gpointer data) {
  (*static_cast<Task::Message*>(data))();
  return G_SOURCE_REMOVE;
}

gboolean RunRepeatedly(gpointer data) {
  (*static_cast<Task::Message*>(data))();
  return G_SOURCE_CONTINUE;
}

void DeleteMessage(gpointer data) {
  delete static_cast<Task::Message*>(data);
}

void Attach(GSource* source,
            GSourceFunc function,
            Task::Message message,
            GMainContext* context) {
  g_source_set_callback(source, function, new Task::Message(std::move(message)),
                        DeleteMessage);
  g_source_attach(source, context);
  g_source_unref(source);
}

}  // namespace

Task::Task(std::string name)
    : name(std::move(name)),
      context(g_main_context_new()),
      loop(g_main_loop_new(this->context, FALSE)),
      thread([this] { this->Loop(); }) {}

Task::~Task() {
  this->Stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
  g_main_loop_unref(this->loop);
  g_main_context_unref(this->context);
}

void Task::Post(Message message) {
  GSource* source = g_idle_source_new();
  g_source_set_priority(source, G_PRIORITY_DEFAULT);
  Attach(source, RunOnce, std::move(message), this->context);
}

void Task::PostAt(Instant deadline, Message message) {
  const auto remaining = deadline.RemainingMs(BootClock{}.Now());
  GSource* source = g_timeout_source_new(static_cast<guint>(remaining));
  Attach(source, RunOnce, std::move(message), this->context);
}

void Task::PostEvery(std::int64_t interval_ms, Message message) {
  GSource* source = g_timeout_source_new(static_cast<guint>(interval_ms));
  Attach(source, RunRepeatedly, std::move(message), this->context);
}

void Task::Run(const Message& function) {
  if (this->OnOwnThread()) {
    function();
    return;
  }
  auto done = std::make_shared<std::promise<void>>();
  std::future<void> finished = done->get_future();
  this->Post([&function, done] {
    function();
    done->set_value();
  });
  finished.wait();
}

// The quit is posted as a message, so that a stop before the loop has started
// is not lost.
void Task::Stop() {
  this->Post([this] { g_main_loop_quit(this->loop); });
}

bool Task::OnOwnThread() const {
  return std::this_thread::get_id() == this->thread.get_id();
}

void Task::Loop() {
  pthread_setname_np(pthread_self(),
                     this->name.substr(0, kThreadNameLimit).c_str());
  g_main_context_push_thread_default(this->context);
  g_main_loop_run(this->loop);
  g_main_context_pop_thread_default(this->context);
}

}  // namespace carobrill
