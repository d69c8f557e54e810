#include "packages/http/http_server.h"

#include <libsoup/soup.h>
#include <sys/socket.h>

#include <array>
#include <exception>
#include <memory>
#include <optional>
#include <utility>

#include "packages/core/acceptor.h"
#include "packages/core/log.h"
#include "packages/http/client_connections.h"

namespace carobrill::http {
namespace {

constexpr int kInternalError = 500;
constexpr const char* kBodyKey = "carobrill-body";

/// Time between two checks of the deadlines of connections; deadlines are
/// overrun by as much.
constexpr guint kSweepMs = 500;

/// Chunks take 0.4 us each, so a body of many tiny chunks takes a hundred times
/// the processor time of an ordinary one.
constexpr std::size_t kManyChunks = 128;
constexpr std::size_t kTinyChunkBytes = 64;

using ConnectionsRef = std::shared_ptr<ClientConnections>;

/// State of the body of a request as it arrives. The bytes are with the
/// connection: libsoup would keep each chunk in a buffer of its own, which
/// takes a hundred times the memory for chunks of one byte.
struct IncomingBody {
  ConnectionsRef connections;
  ConnectionId connection = 0;
  std::size_t size = 0;
  std::size_t chunks = 0;
  bool too_large = false;
};

IncomingBody* BodyOf(SoupServerMessage* message) {
  return static_cast<IncomingBody*>(
      g_object_get_data(G_OBJECT(message), kBodyKey));
}

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
  IncomingBody* body = BodyOf(message);
  request.body_too_large = body->too_large;
  request.body = body->connections->TakeBody(body->connection);
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
  const IncomingBody* body = BodyOf(exchange.message);
  body->connections->Budget().OnResponse(body->connection, response.body.size(),
                                         BootClock{}.Now());
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

void DiscardBody(IncomingBody& body) {
  body.too_large = true;
  body.connections->TakeBody(body.connection);
  body.connections->Budget().OnBodyDiscarded(body.connection);
}

void OnHead(SoupServerMessage* message, gpointer data) {
  auto* body = static_cast<IncomingBody*>(data);
  ConnectionBudget& budget = body->connections->Budget();
  budget.OnHead(body->connection, BootClock{}.Now());
  const goffset size = soup_message_headers_get_content_length(
      soup_server_message_get_request_headers(message));
  if (size > 0 &&
      static_cast<std::size_t>(size) > budget.Limits().max_body_bytes) {
    DiscardBody(*body);
  }
}

// The body is discarded once it exceeds the limit, so that a client cannot
// exhaust the memory.
void OnChunk(SoupServerMessage* /*message*/, GBytes* chunk, gpointer data) {
  auto* body = static_cast<IncomingBody*>(data);
  if (++body->chunks == kManyChunks &&
      body->size < kManyChunks * kTinyChunkBytes) {
    body->connections->ReadSlowly(body->connection);
  }
  if (body->too_large) {
    return;
  }
  gsize size = 0;
  const auto* bytes = static_cast<const char*>(g_bytes_get_data(chunk, &size));
  body->size += size;
  if (body->size > body->connections->Budget().Limits().max_body_bytes) {
    DiscardBody(*body);
  } else {
    body->connections->AppendBody(body->connection, bytes, size);
  }
}

void OnFinished(SoupServerMessage* /*message*/, gpointer data) {
  const auto* body = static_cast<IncomingBody*>(data);
  body->connections->Budget().OnFinished(body->connection, BootClock{}.Now());
}

void OnRequestStarted(SoupServer* /*server*/,
                      SoupServerMessage* message,
                      gpointer data) {
  auto* body = new IncomingBody{
      *static_cast<ConnectionsRef*>(data),
      ClientConnections::IdOf(soup_server_message_get_remote_address(message)),
      0, 0, false};
  g_object_set_data_full(G_OBJECT(message), kBodyKey, body, [](gpointer held) {
    delete static_cast<IncomingBody*>(held);
  });
  soup_message_body_set_accumulate(
      soup_server_message_get_request_body(message), FALSE);
  g_signal_connect(message, "got-headers", G_CALLBACK(OnHead), body);
  g_signal_connect(message, "got-chunk", G_CALLBACK(OnChunk), body);
  g_signal_connect(message, "finished", G_CALLBACK(OnFinished), body);
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
    const IncomingBody* body = BodyOf(message);
    body->connections->Budget().OnRequest(body->connection);
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

// libsoup closes each connection after its first response unless the server has
// a listener. One end of a pair of sockets is accepted as such and never has a
// connection. Returns the other end, which must stay open.
GSocket* AddInertListener(SoupServer* server) {
  std::array<int, 2> ends{};
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends.data()) != 0) {
    return nullptr;
  }
  GSocket* listener = g_socket_new_from_fd(ends[0], nullptr);
  soup_server_listen_socket(server, listener, SoupServerListenOptions{},
                            nullptr);
  g_object_unref(listener);
  return g_socket_new_from_fd(ends[1], nullptr);
}

ClientLimits LimitsWith(std::size_t max_body_bytes) {
  ClientLimits limits;
  limits.max_body_bytes = max_body_bytes;
  return limits;
}

}  // namespace

HttpServer::HttpServer(Task& task,
                       HttpHandler handler,
                       std::size_t max_body_bytes)
    : HttpServer(task,
                 std::move(handler),
                 LimitsWith(max_body_bytes),
                 nullptr) {}

HttpServer::HttpServer(Task& task,
                       HttpHandler handler,
                       const ClientLimits& limits,
                       MetricsRegistry* metrics)
    : task(task),
      handler(std::move(handler)),
      connections(std::make_shared<ClientConnections>(limits, metrics)),
      tracker(std::make_shared<detail::RequestTracker>()) {
  this->RunOnTask([this] {
    this->acceptor = std::make_unique<Acceptor>(
        this->task.Context(),
        AcceptorHandlers{[this](GSocket* socket) { this->Accept(socket); },
                         [this] {
                           this->connections->CloseOne(
                               RefusalReason::kDescriptors);
                         }});
    this->server = soup_server_new(nullptr, nullptr);
    this->inert_peer = AddInertListener(this->server);
    soup_server_add_handler(
        this->server, nullptr, OnRequest,
        new HandlerData{&this->task, &this->handler, this->tracker},
        DeleteHandlerData);
    g_signal_connect(this->server, "request-started",
                     G_CALLBACK(OnRequestStarted), &this->connections);
    this->StartSweep();
  });
}

HttpServer::~HttpServer() {
  this->RunOnTask([this] {
    this->tracker->when_idle = {};
    this->tracker->phase = detail::ServerPhase::kClosed;
    this->acceptor.reset();
    g_source_destroy(this->sweep);
    g_source_unref(this->sweep);
    soup_server_disconnect(this->server);
    g_object_unref(this->server);
    g_clear_object(&this->inert_peer);
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
    bound = this->acceptor->Listen(socket_address, &error);
    if (error != nullptr) {
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
    this->acceptor->StopListening();
    this->tracker->phase = detail::ServerPhase::kClosing;
  });
}

void HttpServer::SetMaxBodyBytes(std::size_t max_body_bytes) {
  this->RunOnTask([this, max_body_bytes] {
    this->connections->Budget().SetMaxBodyBytes(max_body_bytes);
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

// The client may have disconnected already, and then has no address.
void HttpServer::Accept(GSocket* socket) {
  GSocketAddress* local = g_socket_get_local_address(socket, nullptr);
  GSocketAddress* remote = g_socket_get_remote_address(socket, nullptr);
  if (local != nullptr && remote != nullptr) {
    if (GIOStream* stream = this->connections->Add(socket, remote)) {
      soup_server_accept_iostream(this->server, stream, local, remote, nullptr);
      g_object_unref(stream);
    }
  }
  g_clear_object(&local);
  g_clear_object(&remote);
}

// One timer for all connections. It also ends a suspension of the acceptor.
void HttpServer::StartSweep() {
  this->sweep = g_timeout_source_new(kSweepMs);
  g_source_set_callback(
      this->sweep,
      [](gpointer data) -> gboolean {
        auto* server = static_cast<HttpServer*>(data);
        server->connections->Sweep();
        server->acceptor->Resume();
        return G_SOURCE_CONTINUE;
      },
      this, nullptr);
  g_source_attach(this->sweep, this->task.Context());
}

void HttpServer::RunOnTask(const Task::Message& function) {
  if (this->task.OnOwnThread()) {
    function();
  } else {
    this->task.Run(function);
  }
}

}  // namespace carobrill::http
