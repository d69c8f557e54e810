#include "packages/http/http_server.h"

#include <libsoup/soup.h>

#include <exception>
#include <memory>
#include <optional>
#include <utility>

#include "packages/core/log.h"

namespace carobrill::http {
namespace {

constexpr int kListenBacklog = 1024;
constexpr int kInternalError = 500;
constexpr const char* kBodySizeKey = "carobrill-body-size";

/// A paused request whose response is pending. Accessed only on the server's
/// task.
struct PendingExchange {
  SoupServerMessage* message = nullptr;
  std::shared_ptr<detail::RequestTracker> tracker;
  gulong finished_handler = 0;
  bool finished = false;
  bool responded = false;

  ~PendingExchange() {
    g_signal_handler_disconnect(this->message, this->finished_handler);
    g_object_unref(this->message);
  }
};

void OnMessageFinished(SoupServerMessage* /*message*/, gpointer data) {
  static_cast<PendingExchange*>(data)->finished = true;
}

std::string LowerCase(const char* text) {
  char* lower = g_ascii_strdown(text, -1);
  std::string result(lower);
  g_free(lower);
  return result;
}

void AddHeader(const char* name, const char* value, gpointer data) {
  auto* request = static_cast<HttpRequest*>(data);
  // Repeated headers are joined into one list (RFC 9110, section 5.3), so that
  // validation sees all values.
  std::string& combined = request->headers[LowerCase(name)];
  combined += (combined.empty() ? "" : ", ") + std::string(value);
}

void AddQuery(gpointer name, gpointer value, gpointer data) {
  auto* request = static_cast<HttpRequest*>(data);
  request->query[static_cast<const char*>(name)] =
      static_cast<const char*>(value);
}

HttpRequest ReadRequest(SoupServerMessage* message,
                        const char* path,
                        GHashTable* query) {
  HttpRequest request;
  request.method = soup_server_message_get_method(message);
  request.path = path;
  if (query != nullptr) {
    g_hash_table_foreach(query, AddQuery, &request);
  }
  soup_message_headers_foreach(soup_server_message_get_request_headers(message),
                               AddHeader, &request);
  SoupMessageBody* body = soup_server_message_get_request_body(message);
  request.body_too_large = soup_message_body_get_accumulate(body) == FALSE;
  if (request.body_too_large) {
    return request;
  }
  GBytes* bytes = soup_message_body_flatten(body);
  gsize size = 0;
  const auto* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
  request.body.assign(text == nullptr ? "" : text, size);
  g_bytes_unref(bytes);
  return request;
}

void WriteResponse(SoupServerMessage* message, const HttpResponse& response) {
  soup_server_message_set_status(message, static_cast<guint>(response.status),
                                 nullptr);
  SoupMessageHeaders* headers =
      soup_server_message_get_response_headers(message);
  for (const auto& [name, value] : response.headers) {
    soup_message_headers_replace(headers, name.c_str(), value.c_str());
  }
  soup_server_message_set_response(message, response.content_type.c_str(),
                                   SOUP_MEMORY_COPY, response.body.data(),
                                   response.body.size());
}

// The client may have disconnected before the response is ready.
void SendResponse(PendingExchange& exchange, const HttpResponse& response) {
  if (exchange.finished || std::exchange(exchange.responded, true) ||
      exchange.tracker->phase == detail::ServerPhase::kClosed) {
    return;
  }
  WriteResponse(exchange.message, response);
  if (exchange.tracker->phase == detail::ServerPhase::kClosing) {
    soup_message_headers_replace(
        soup_server_message_get_response_headers(exchange.message),
        "Connection", "close");
  }
  soup_server_message_unpause(exchange.message);
}

struct HandlerData {
  Task* task;
  HttpHandler* handler;
  std::shared_ptr<detail::RequestTracker> tracker;
};

using TrackerRef = std::shared_ptr<detail::RequestTracker>;

// A message is destroyed after its response is written or its connection has
// closed, independently of the responder.
void OnMessageDestroyed(gpointer data, GObject* /*message*/) {
  const std::unique_ptr<TrackerRef> reference(static_cast<TrackerRef*>(data));
  detail::RequestTracker& tracker = **reference;
  --tracker.open_requests;
  if (tracker.open_requests == 0 && tracker.when_idle) {
    std::exchange(tracker.when_idle, {})();
  }
}

void TrackRequest(SoupServerMessage* message, const TrackerRef& tracker) {
  ++tracker->open_requests;
  g_object_weak_ref(G_OBJECT(message), OnMessageDestroyed,
                    new TrackerRef(tracker));
}

// Stops accumulating the body once it exceeds the limit, so that a client
// cannot exhaust the memory; the rest is read and discarded.
void OnChunk(SoupServerMessage* message, GBytes* chunk, gpointer data) {
  const auto limit = *static_cast<const std::size_t*>(data);
  const auto previous_size =
      GPOINTER_TO_SIZE(g_object_get_data(G_OBJECT(message), kBodySizeKey));
  const auto size = previous_size + g_bytes_get_size(chunk);
  g_object_set_data(G_OBJECT(message), kBodySizeKey, GSIZE_TO_POINTER(size));
  if (size > limit) {
    SoupMessageBody* body = soup_server_message_get_request_body(message);
    soup_message_body_set_accumulate(body, FALSE);
  }
}

void OnRequestStarted(SoupServer* /*server*/,
                      SoupServerMessage* message,
                      gpointer data) {
  g_signal_connect(message, "got-chunk", G_CALLBACK(OnChunk), data);
}

std::shared_ptr<PendingExchange> PauseMessage(SoupServerMessage* message,
                                              const TrackerRef& tracker) {
  auto exchange = std::make_shared<PendingExchange>();
  exchange->tracker = tracker;
  exchange->message = SOUP_SERVER_MESSAGE(g_object_ref(message));
  exchange->finished_handler = g_signal_connect(
      message, "finished", G_CALLBACK(OnMessageFinished), exchange.get());
  soup_server_message_pause(message);
  return exchange;
}

// The last reference must be released on the server's task, because it owns
// objects of that task. So the responder moves its reference into the posted
// message.
HttpResponder MakeResponder(Task* task,
                            SoupServerMessage* message,
                            const TrackerRef& tracker) {
  auto exchange = PauseMessage(message, tracker);
  return [task, exchange](HttpResponse response) mutable {
    task->Post([exchange = std::move(exchange),
                response = std::move(response)]() mutable {
      if (exchange != nullptr) {
        SendResponse(*exchange, response);
      }
    });
  };
}

void OnRequest(SoupServer* /*server*/,
               SoupServerMessage* message,
               const char* path,
               GHashTable* query,
               gpointer data) {
  auto* handler_data = static_cast<HandlerData*>(data);
  TrackRequest(message, handler_data->tracker);
  HttpResponder respond =
      MakeResponder(handler_data->task, message, handler_data->tracker);
  // One request that cannot be handled must not end the process. The request
  // may have taken effect, which status 500 leaves open.
  try {
    const HttpRequest request = ReadRequest(message, path, query);
    (*handler_data->handler)(request, respond);
  } catch (const std::exception& error) {
    Log(LogLevel::kError, "request handler failed",
        {{"path", path}, {"reason", error.what()}});
    respond(HttpResponse{kInternalError, "", "text/plain", {}});
  }
}

void DeleteHandlerData(gpointer data) {
  delete static_cast<HandlerData*>(data);
}

// soup_server_listen() uses a backlog of 10, and further connections are
// refused; a burst of clients exceeds that.
bool ListenOn(SoupServer* server, GSocketAddress* address, GError** error) {
  GSocket* socket =
      g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                   G_SOCKET_PROTOCOL_TCP, error);
  if (socket == nullptr) {
    return false;
  }
  g_socket_set_listen_backlog(socket, kListenBacklog);
  const bool listening =
      g_socket_bind(socket, address, /*allow_reuse=*/TRUE, error) != FALSE &&
      g_socket_listen(socket, error) != FALSE &&
      soup_server_listen_socket(server, socket, SoupServerListenOptions{},
                                error) != FALSE;
  g_object_unref(socket);
  return listening;
}

std::uint16_t BoundPort(SoupServer* server) {
  GSList* uris = soup_server_get_uris(server);
  const int port =
      uris == nullptr ? 0 : g_uri_get_port(static_cast<GUri*>(uris->data));
  g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
  return static_cast<std::uint16_t>(port);
}

}  // namespace

HttpServer::HttpServer(Task& task,
                       HttpHandler handler,
                       std::size_t max_body_bytes)
    : task(task),
      handler(std::move(handler)),
      max_body_bytes(max_body_bytes),
      tracker(std::make_shared<detail::RequestTracker>()) {
  this->RunOnTask([this] {
    this->server = soup_server_new(nullptr, nullptr);
    soup_server_add_handler(
        this->server, nullptr, OnRequest,
        new HandlerData{&this->task, &this->handler, this->tracker},
        DeleteHandlerData);
    g_signal_connect(this->server, "request-started",
                     G_CALLBACK(OnRequestStarted), &this->max_body_bytes);
  });
}

HttpServer::~HttpServer() {
  this->RunOnTask([this] {
    this->tracker->when_idle = {};
    this->tracker->phase = detail::ServerPhase::kClosed;
    soup_server_disconnect(this->server);
    g_object_unref(this->server);
  });
}

Result<std::uint16_t> HttpServer::Listen(const std::string& address,
                                         std::uint16_t port) {
  std::optional<HttpListenError> failure;
  std::uint16_t bound = 0;
  this->RunOnTask([&] {
    GSocketAddress* socket_address =
        g_inet_socket_address_new_from_string(address.c_str(), port);
    if (socket_address == nullptr) {
      failure = HttpListenError{address, port, "not an IP address"};
      return;
    }
    GError* error = nullptr;
    if (ListenOn(this->server, socket_address, &error)) {
      bound = BoundPort(this->server);
    } else {
      failure = HttpListenError{address, port, error->message};
      g_clear_error(&error);
    }
    g_object_unref(socket_address);
  });
  if (failure.has_value()) {
    return Fail(std::move(*failure));
  }
  return bound;
}

void HttpServer::StopListening() {
  this->RunOnTask([this] {
    GSList* sockets = soup_server_get_listeners(this->server);
    for (GSList* node = sockets; node != nullptr; node = node->next) {
      g_socket_close(static_cast<GSocket*>(node->data), nullptr);
    }
    g_slist_free(sockets);
    this->tracker->phase = detail::ServerPhase::kClosing;
  });
}

void HttpServer::NotifyWhenIdle(std::function<void()> callback) {
  this->RunOnTask([&] {
    if (this->tracker->open_requests == 0) {
      callback();
      return;
    }
    this->tracker->when_idle = std::move(callback);
  });
}

void HttpServer::RunOnTask(const Task::Message& function) {
  if (this->task.OnOwnThread()) {
    function();
  } else {
    this->task.Run(function);
  }
}

}  // namespace carobrill::http
