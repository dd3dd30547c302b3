#ifndef VERBENADOCK_TEST_NET_CANNEDSERVER_H
#define VERBENADOCK_TEST_NET_CANNEDSERVER_H

#include "verbenadock/base/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <thread>

namespace Verbenadock::Test {

/// Accepts one connection on a separate thread, reads the request headers, writes the given response and closes the
/// connection. With an empty response, the connection stays open until the client closes it.
class CannedServer
{
public:
    explicit CannedServer(const std::string &response)
        : acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , thread([this, response] {
            this->serve(response);
        })
    {
    }

    ~CannedServer()
    {
        this->thread.join();
    }

    CannedServer(const CannedServer &) = delete;
    CannedServer &operator=(const CannedServer &) = delete;

    Endpoint endpoint() const
    {
        return {.address = "127.0.0.1", .port = this->acceptor.local_endpoint().port()};
    }

private:
    void serve(const std::string &response)
    {
        boost::system::error_code ignored;
        auto socket = this->acceptor.accept(ignored);
        std::string head;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(head), "\r\n\r\n", ignored);
        if (response.empty()) {
            boost::asio::read(socket, boost::asio::dynamic_buffer(head), ignored);
        }
        boost::asio::write(socket, boost::asio::buffer(response), ignored);
    }

    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::thread thread;
};

} // namespace Verbenadock::Test

#endif
