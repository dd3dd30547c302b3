#include "verbenadock/net/adminserver.h"

#include "http.h"

#include <list>

namespace Verbenadock::Net {

using namespace internal;

namespace {

constexpr auto ConnectionTimeout = std::chrono::seconds(5);
constexpr std::uint32_t MaxHeaderBytes = 8 * 1024;
// All VMs of a data centre may ask one VM for records at the same moment. The limit reserves memory for the main work
// of the process.
constexpr std::size_t MaxConnections = 256;
// accept() fails immediately while no file descriptor is free; the delay prevents a busy loop.
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(100);

using Request = http::request<http::empty_body>;
using Response = http::response<http::string_body>;

void fillResponse(Response &response, http::status status, const std::string &contentType, std::string body)
{
    response.result(status);
    response.set(http::field::content_type, contentType);
    response.body() = std::move(body);
}

void route(const AdminServer::Handlers &handlers, std::string_view target, Response &response)
{
    const auto path = target.substr(0, target.find('?'));
    if (path == "/ready") {
        const bool ready = handlers.ready();
        const auto status = ready ? http::status::ok : http::status::service_unavailable;
        fillResponse(response, status, "text/plain", ready ? "ready\n" : "not ready\n");
    } else if (path == "/metrics") {
        fillResponse(response, http::status::ok, "text/plain; version=0.0.4", handlers.metrics());
    } else if (path == "/dump") {
        fillResponse(response, http::status::ok, "application/json", handlers.dump());
    } else if (auto page = handlers.page ? handlers.page(target) : std::nullopt) {
        for (const auto &[name, value] : page->headers) {
            response.set(name, value);
        }
        fillResponse(response, http::int_to_status(page->status), "application/json", std::move(page->body));
    } else {
        fillResponse(response, http::status::not_found, "text/plain", "no such page\n");
    }
}

Response buildResponse(const AdminServer::Handlers &handlers, const Request &request)
{
    Response response;
    response.version(11);
    response.keep_alive(request.keep_alive());
    const std::string_view target(request.target().data(), request.target().size());
    if (request.method() != http::verb::get) {
        fillResponse(response, http::status::method_not_allowed, "text/plain", "only GET is allowed\n");
        response.set(http::field::allow, "GET");
        // A body may follow the headers; closing the connection prevents parsing that body as the next request.
        response.keep_alive(false);
    } else {
        try {
            route(handlers, target, response);
        } catch (const std::exception &error) {
            fillResponse(response, http::status::internal_server_error, "text/plain", std::string(error.what()) + "\n");
        }
    }
    response.prepare_payload();
    return response;
}

} // namespace

struct AdminServer::Implementation : std::enable_shared_from_this<AdminServer::Implementation>
{
    Implementation(asio::io_context &context, const Endpoint &endpoint, Handlers newHandlers)
        : acceptor(context)
        , handlers(std::move(newHandlers))
    {
        const auto bindAddress = toAsio(endpoint);
        try {
            this->acceptor.open(bindAddress.protocol());
            this->acceptor.set_option(Tcp::acceptor::reuse_address(true));
            this->acceptor.bind(bindAddress);
            this->acceptor.listen();
        } catch (const boost::system::system_error &error) {
            throw NetError("cannot listen on " + toString(endpoint) + ": " + error.code().message());
        }
    }

    Tcp::acceptor acceptor;
    Handlers handlers;
    std::list<beast::tcp_stream *> openStreams;
    bool stopped = false;

    asio::awaitable<void> accept()
    {
        while (!this->stopped) {
            boost::system::error_code error;
            auto socket = co_await this->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (this->stopped) {
                co_return;
            }
            if (error) {
                asio::steady_timer retryTimer(this->acceptor.get_executor(), AcceptRetryDelay);
                co_await retryTimer.async_wait(asio::use_awaitable);
            } else if (this->openStreams.size() < MaxConnections) {
                asio::co_spawn(this->acceptor.get_executor(),
                               this->serve(this->shared_from_this(), std::move(socket)),
                               asio::detached);
            }
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<Implementation> self, Tcp::socket socket)
    {
        beast::tcp_stream stream(std::move(socket));
        const auto position = self->openStreams.insert(self->openStreams.end(), &stream);
        try {
            co_await self->answerRequests(stream);
        } catch (const boost::system::system_error &) {
            // The peer disconnected, exceeded the timeout or sent invalid HTTP; no response can be sent.
        }
        self->openStreams.erase(position);
    }

    asio::awaitable<void> answerRequests(beast::tcp_stream &stream)
    {
        beast::flat_buffer buffer;
        bool keepAlive = true;
        while (keepAlive && !this->stopped) {
            stream.expires_after(ConnectionTimeout);
            http::request_parser<http::empty_body> parser;
            parser.header_limit(MaxHeaderBytes);
            co_await http::async_read_header(stream, buffer, parser, asio::use_awaitable);
            const auto response = buildResponse(this->handlers, parser.get());
            // Closes after a GET with a body, whose bytes would otherwise be parsed as the next request.
            keepAlive = response.keep_alive() && parser.is_done();
            co_await http::async_write(stream, response, asio::use_awaitable);
        }
        boost::system::error_code ignored;
        stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    }
};

AdminServer::AdminServer(asio::io_context &context, const Endpoint &endpoint, Handlers handlers)
    : implementation(std::make_shared<Implementation>(context, endpoint, std::move(handlers)))
{
    asio::co_spawn(
        context,
        [self = this->implementation]() -> asio::awaitable<void> {
            co_await self->accept();
        },
        asio::detached);
}

AdminServer::~AdminServer()
{
    this->stop();
}

Endpoint AdminServer::endpoint() const
{
    const auto local = this->implementation->acceptor.local_endpoint();
    return {.address = local.address().to_string(), .port = local.port()};
}

void AdminServer::stop()
{
    this->implementation->stopped = true;
    boost::system::error_code ignored;
    this->implementation->acceptor.close(ignored);
    for (auto *stream : this->implementation->openStreams) {
        stream->close();
    }
}

} // namespace Verbenadock::Net
