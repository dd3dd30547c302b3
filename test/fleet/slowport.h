#ifndef VERBENADOCK_TEST_FLEET_SLOWPORT_H
#define VERBENADOCK_TEST_FLEET_SLOWPORT_H

#include "verbenadock/base/endpoint.h"
#include "verbenadock/base/time.h"
#include "verbenadock/net/adminserver.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Verbenadock::Test {

/// A page and the times of its transfer.
struct SlowPage
{
    Net::AdminPage page;
    Duration beforeHead{0};
    Duration body{0};
};

/// Serves pages as over a thin link. Has to outlive its event loop's last run.
class SlowPort
{
public:
    using Tcp = boost::asio::ip::tcp;
    using PageOf = std::function<std::optional<SlowPage>(std::string_view target)>;

    SlowPort(boost::asio::io_context &loop, PageOf pages)
        : acceptor(loop, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , pageOf(std::move(pages))
    {
        boost::asio::co_spawn(loop, this->accept(), boost::asio::detached);
    }

    Endpoint endpoint() const
    {
        return {.address = "127.0.0.1", .port = this->acceptor.local_endpoint().port()};
    }

private:
    static constexpr int Parts = 10;

    boost::asio::awaitable<void> accept()
    {
        while (true) {
            auto socket = co_await this->acceptor.async_accept(boost::asio::use_awaitable);
            boost::asio::co_spawn(this->acceptor.get_executor(), this->serve(std::move(socket)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(Tcp::socket socket)
    {
        std::string request;
        co_await boost::asio::async_read_until(
            socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", boost::asio::use_awaitable);
        const auto start = request.find(' ') + 1;
        const auto answer = this->pageOf(std::string_view(request).substr(start, request.find(' ', start) - start));
        const auto body = answer ? answer->page.body : std::string();
        std::string head = answer ? "HTTP/1.1 200 OK\r\n" : "HTTP/1.1 404 Not Found\r\n";
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        boost::asio::steady_timer timer(socket.get_executor(), answer ? answer->beforeHead : Duration(0));
        co_await timer.async_wait(boost::asio::use_awaitable);
        co_await boost::asio::async_write(socket, boost::asio::buffer(head), boost::asio::use_awaitable);
        for (int part = 0; part < Parts; ++part) {
            timer.expires_after((answer ? answer->body : Duration(0)) / Parts);
            co_await timer.async_wait(boost::asio::use_awaitable);
            const auto begin = body.size() * part / Parts;
            const auto end = body.size() * (part + 1) / Parts;
            co_await boost::asio::async_write(
                socket, boost::asio::buffer(body.data() + begin, end - begin), boost::asio::use_awaitable);
        }
    }

    Tcp::acceptor acceptor;
    PageOf pageOf;
};

} // namespace Verbenadock::Test

#endif
