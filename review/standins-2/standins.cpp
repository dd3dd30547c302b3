#include "standins.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

namespace {

constexpr int IdleTimeoutMs = 10'000;
constexpr std::size_t MaxHeadBytes = 65'536;
constexpr int HeartbeatMs = 1500;
/// Limits of the pages of the store.
constexpr std::size_t PageBytes = 1024 * 1024;
constexpr std::size_t PageItems = 500;

sockaddr_in socketAddress(const std::string &address, int port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::inet_pton(AF_INET, address.c_str(), &result.sin_addr) != 1) {
        throw std::runtime_error("'" + address + "' is no address");
    }
    return result;
}

std::string lower(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char character) {
        return std::tolower(character);
    });
    return result;
}

std::string trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    return first == std::string_view::npos ? std::string()
                                           : std::string(text.substr(first, text.find_last_not_of(" \t") - first + 1));
}

/// Splits a head into its first line and its fields; false if a line is no field.
bool parseHead(std::string_view head, std::string &firstLine, Headers &headers)
{
    bool first = true;
    while (!head.empty()) {
        const auto end = head.find("\r\n");
        const auto line = head.substr(0, end);
        head = end == std::string_view::npos ? std::string_view() : head.substr(end + 2);
        if (line.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos) {
            return false;
        }
        if (first) {
            firstLine = line;
            first = false;
            continue;
        }
        if (line.empty()) {
            continue;
        }
        const auto colon = line.find(':');
        if (colon == std::string_view::npos || colon == 0) {
            return false;
        }
        headers.fields.emplace_back(std::string(line.substr(0, colon)), trimmed(line.substr(colon + 1)));
    }
    return true;
}

/// Reads until the end of a head and removes it from the buffer.
ReadResult takeHead(Socket &socket, std::string &head, int timeoutMs)
{
    for (;;) {
        const auto end = socket.buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            head = socket.buffer.substr(0, end + 2);
            socket.buffer.erase(0, end + 4);
            return ReadResult::Complete;
        }
        if (socket.buffer.size() > MaxHeadBytes) {
            return ReadResult::Malformed;
        }
        if (!socket.read(timeoutMs)) {
            return ReadResult::End;
        }
    }
}

bool readExactly(Socket &socket, std::size_t size, std::string &body, int timeoutMs)
{
    while (socket.buffer.size() < size) {
        if (!socket.read(timeoutMs)) {
            body += socket.buffer;
            return false;
        }
    }
    body += socket.buffer.substr(0, size);
    socket.buffer.erase(0, size);
    return true;
}

bool readChunked(Socket &socket, std::string &body, int timeoutMs)
{
    for (;;) {
        std::size_t end;
        while ((end = socket.buffer.find("\r\n")) == std::string::npos) {
            if (!socket.read(timeoutMs)) {
                return false;
            }
        }
        const auto size = std::strtoull(socket.buffer.substr(0, end).c_str(), nullptr, 16);
        socket.buffer.erase(0, end + 2);
        std::string chunk;
        if (!readExactly(socket, size + 2, chunk, timeoutMs)) {
            body += chunk;
            return false;
        }
        body += chunk.substr(0, size);
        if (size == 0) {
            return true;
        }
    }
}

std::string hex(std::uint64_t value, std::size_t bytes)
{
    std::string result(bytes, '\0');
    for (auto byte = result.rbegin(); byte != result.rend(); ++byte) {
        *byte = static_cast<char>(value & 0xff);
        value >>= 8;
    }
    return result;
}

std::string base64(std::string_view bytes)
{
    constexpr std::string_view Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            group = (group << 8) | (at + offset < bytes.size() ? static_cast<unsigned char>(bytes[at + offset]) : 0);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            result += digit <= bytes.size() - at ? Digits[(group >> (18 - 6 * digit)) & 0x3f] : '=';
        }
    }
    return result;
}

std::string jsonText(std::string_view text)
{
    std::string result = "\"";
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            result += '\\';
            result += character;
        } else if (static_cast<unsigned char>(character) < 0x20) {
            char escaped[8];
            std::snprintf(escaped, sizeof escaped, "\\u%04x", static_cast<unsigned char>(character));
            result += escaped;
        } else {
            result += character;
        }
    }
    return result + "\"";
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> result;
    const auto question = target.find('?');
    std::stringstream query(question == std::string::npos ? "" : target.substr(question + 1));
    std::string part;
    while (std::getline(query, part, '&')) {
        const auto equals = part.find('=');
        result[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
    }
    return result;
}

std::string percentDecoded(const std::string &text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            result += static_cast<char>(std::strtoul(text.substr(at + 1, 2).c_str(), nullptr, 16));
            at += 2;
        } else {
            result += text[at];
        }
    }
    return result;
}

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string plainAnswer(int status, const std::string &body)
{
    return formatAnswer({.status = status, .headers = {}, .body = body});
}

} // namespace

bool troubleWanted()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

void sleepMs(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

Record::Record(const std::string &path)
    : file(path, std::ios::trunc)
{
    if (!this->file) {
        throw std::runtime_error("cannot write " + path);
    }
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(this->mutex);
    const auto seconds = std::chrono::duration<double>(Clock::now() - this->start).count();
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", seconds);
    this->file << time << text << std::endl;
}

Socket::Socket(int descriptor)
    : fd(descriptor)
{
    const int one = 1;
    if (this->fd >= 0) {
        ::setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
}

Socket::Socket(Socket &&other) noexcept
    : buffer(std::move(other.buffer))
    , end(other.end)
    , fd(std::exchange(other.fd, -1))
{
}

Socket &Socket::operator=(Socket &&other) noexcept
{
    if (this != &other) {
        this->close();
        this->buffer = std::move(other.buffer);
        this->end = other.end;
        this->fd = std::exchange(other.fd, -1);
    }
    return *this;
}

Socket::~Socket()
{
    this->close();
}

Socket Socket::connect(const std::string &address, int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto target = socketAddress(address, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        ::close(descriptor);
        return Socket(-1);
    }
    return Socket(descriptor);
}

bool Socket::isOpen() const
{
    return this->fd >= 0;
}

bool Socket::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto written = ::send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (written <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

bool Socket::read(int timeoutMs)
{
    pollfd request{.fd = this->fd, .events = POLLIN, .revents = 0};
    if (::poll(&request, 1, timeoutMs) <= 0) {
        this->end = End::Timeout;
        return false;
    }
    char bytes[16384];
    const auto count = ::recv(this->fd, bytes, sizeof bytes, 0);
    if (count <= 0) {
        this->end = count == 0 ? End::Closed : End::Reset;
        return false;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

void Socket::reset()
{
    if (this->fd >= 0) {
        const linger option{.l_onoff = 1, .l_linger = 0};
        ::setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }
    this->close();
}

void Socket::close()
{
    if (this->fd >= 0) {
        ::close(std::exchange(this->fd, -1));
    }
}

void Socket::shutdownBoth()
{
    if (this->fd >= 0) {
        ::shutdown(this->fd, SHUT_RDWR);
    }
}

int Socket::descriptor() const
{
    return this->fd;
}

std::string toString(Socket::End end)
{
    switch (end) {
    case Socket::End::None:
        return "open";
    case Socket::End::Closed:
        return "closed";
    case Socket::End::Reset:
        return "reset";
    case Socket::End::Timeout:
        return "timeout";
    }
    return "unknown";
}

std::optional<std::string> Headers::find(std::string_view name) const
{
    for (const auto &[field, value] : this->fields) {
        if (lower(field) == lower(name)) {
            return value;
        }
    }
    return std::nullopt;
}

ReadResult readRequest(Socket &socket, HttpRequest &request, int timeoutMs)
{
    request = {};
    const auto result = takeHead(socket, request.head, timeoutMs);
    if (result != ReadResult::Complete) {
        return result;
    }
    std::string firstLine;
    if (!parseHead(request.head, firstLine, request.headers)) {
        return ReadResult::Malformed;
    }
    std::stringstream words(firstLine);
    std::string version;
    words >> request.method >> request.target >> version;
    if (version != "HTTP/1.1") {
        return ReadResult::Malformed;
    }
    if (const auto length = request.headers.find("Content-Length")) {
        return readExactly(socket, std::strtoull(length->c_str(), nullptr, 10), request.body, timeoutMs)
                   ? ReadResult::Complete
                   : ReadResult::End;
    }
    if (request.headers.find("Transfer-Encoding")) {
        return readChunked(socket, request.body, timeoutMs) ? ReadResult::Complete : ReadResult::End;
    }
    return ReadResult::Complete;
}

HttpAnswer readAnswer(Socket &socket, int timeoutMs)
{
    HttpAnswer answer;
    std::string head;
    std::string firstLine;
    const auto result = takeHead(socket, head, timeoutMs);
    if (result == ReadResult::Complete && parseHead(head, firstLine, answer.headers)) {
        std::stringstream words(firstLine);
        std::string version;
        words >> version >> answer.status;
        if (const auto length = answer.headers.find("Content-Length")) {
            answer.complete = readExactly(socket, std::strtoull(length->c_str(), nullptr, 10), answer.body, timeoutMs);
        } else if (answer.headers.find("Transfer-Encoding")) {
            answer.complete = readChunked(socket, answer.body, timeoutMs);
        }
    }
    answer.end = answer.complete ? Socket::End::None : socket.end;
    return answer;
}

Listener::Listener(const std::string &localAddress, int port, Serve handler)
    : address(localAddress)
    , serve(std::move(handler))
    , listening(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int one = 1;
    ::setsockopt(this->listening, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    auto local = socketAddress(localAddress, port);
    socklen_t size = sizeof local;
    if (::bind(this->listening, reinterpret_cast<sockaddr *>(&local), size) != 0 || ::listen(this->listening, 512) != 0
        || ::getsockname(this->listening, reinterpret_cast<sockaddr *>(&local), &size) != 0) {
        throw std::runtime_error("cannot listen on " + localAddress);
    }
    this->boundPort = ntohs(local.sin_port);
    this->acceptor = std::thread([this] {
        this->accept();
    });
}

Listener::~Listener()
{
    this->stop();
}

int Listener::port() const
{
    return this->boundPort;
}

std::string Listener::endpoint() const
{
    return this->address + ":" + std::to_string(this->boundPort);
}

void Listener::stop()
{
    if (this->stopped.exchange(true)) {
        return;
    }
    ::shutdown(this->listening, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listening);
    {
        const std::lock_guard lock(this->mutex);
        for (const auto &socket : this->open) {
            socket->shutdownBoth();
        }
    }
    for (auto &thread : this->threads) {
        thread.join();
    }
}

void Listener::accept()
{
    while (!this->stopped) {
        const int descriptor = ::accept4(this->listening, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            if (this->stopped || (errno != EINTR && errno != ECONNABORTED)) {
                return;
            }
            continue;
        }
        auto socket = std::make_shared<Socket>(descriptor);
        const std::lock_guard lock(this->mutex);
        this->open.push_back(socket);
        this->threads.emplace_back([this, socket] {
            this->serve(*socket);
            const std::lock_guard closing(this->mutex);
            this->open.remove(socket);
            socket->close();
        });
    }
}

Store::Store()
{
    this->listener = std::make_unique<Listener>("127.0.0.1", 0, [this](Socket &socket) {
        this->serve(socket);
    });
}

Store::~Store()
{
    this->stopped = true;
    this->changed.notify_all();
    this->listener->stop();
}

std::string Store::endpoint() const
{
    return this->listener->endpoint();
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    this->append(topic, std::string(1, static_cast<char>(key.size())) + key + value);
}

std::uint64_t Store::append(const std::string &topic, const std::string &record)
{
    const std::lock_guard lock(this->mutex);
    auto &target = this->topics[topic];
    target.records.push_back(record);
    const auto offset = target.records.size() - 1;
    target.newest[record.substr(1, static_cast<unsigned char>(record[0]))] = offset;
    this->changed.notify_all();
    return offset;
}

void Store::serve(Socket &socket)
{
    HttpRequest request;
    while (readRequest(socket, request, IdleTimeoutMs) == ReadResult::Complete) {
        if (!socket.write(this->answer(request)) || request.headers.find("Connection") == "close") {
            return;
        }
    }
}

std::string Store::answer(const HttpRequest &request)
{
    const auto path = request.target.substr(0, request.target.find('?'));
    auto query = queryOf(request.target);
    if (path == "/v1/log-append") {
        std::uint64_t first = 0;
        std::string_view body = request.body;
        bool isFirst = true;
        while (body.size() >= 4) {
            std::uint32_t length = 0;
            for (int byte = 0; byte < 4; ++byte) {
                length = (length << 8) | static_cast<unsigned char>(body[static_cast<std::size_t>(byte)]);
            }
            const auto offset = this->append(query["topic"], std::string(body.substr(4, length)));
            first = std::exchange(isFirst, false) ? offset : first;
            body.remove_prefix(4 + length);
        }
        return plainAnswer(200,
                           "{\"offset\": " + std::to_string(first) + ", \"end\": " + std::to_string(first + 1) + "}");
    }
    if (path == "/v1/log-read") {
        return this->readTopic(query);
    }
    if (path == "/v1/log-newest") {
        return this->newest(query["topic"], percentDecoded(query["after"]));
    }
    return plainAnswer(404, "{}");
}

std::string Store::readTopic(const std::map<std::string, std::string> &query)
{
    const auto valueOf = [&query](const std::string &name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    const auto from = std::strtoull(valueOf("from").c_str(), nullptr, 10);
    const auto wait = std::chrono::milliseconds(std::atoi(valueOf("waitMs").c_str()));
    std::unique_lock lock(this->mutex);
    const auto &topic = this->topics[valueOf("topic")];
    this->changed.wait_for(lock, wait, [&] {
        return this->stopped || topic.records.size() > from;
    });
    const auto limit
        = valueOf("maxKb").empty() ? PageBytes : std::strtoull(valueOf("maxKb").c_str(), nullptr, 10) * 1024;
    std::string body = hex(topic.records.size(), 8) + hex(0, 8);
    for (std::size_t offset = from; offset < topic.records.size(); ++offset) {
        const auto &record = topic.records[offset];
        if (offset > from && body.size() + record.size() > limit) {
            break;
        }
        body += hex(record.size(), 4) + record;
    }
    return plainAnswer(200, body);
}

std::string Store::newest(const std::string &topicName, const std::string &after)
{
    const std::lock_guard lock(this->mutex);
    const auto &topic = this->topics[topicName];
    std::string items;
    std::size_t count = 0;
    bool hasMore = false;
    for (auto entry = topic.newest.upper_bound(after); entry != topic.newest.end(); ++entry) {
        const auto &[key, offset] = *entry;
        const auto value = std::string_view(topic.records[offset]).substr(1 + key.size());
        if (value.empty()) {
            continue;
        }
        if (count == PageItems || (count > 0 && items.size() + value.size() > PageBytes)) {
            hasMore = true;
            break;
        }
        ++count;
        items += (items.empty() ? "" : ", ") + std::string("{\"key\": ") + jsonText(key) + ", \"value\": \""
                 + base64(value) + "\", \"offset\": " + std::to_string(offset) + "}";
    }
    return plainAnswer(200,
                       "{\"items\": [" + items + "], \"hasMore\": " + (hasMore ? "true" : "false")
                           + ", \"end\": " + std::to_string(topic.records.size()) + "}");
}

std::string formatAnswer(const Answer &answer)
{
    std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " Status\r\n";
    for (const auto &[name, value] : answer.headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
}

Server::Server(std::string ownInstance, Record &ownRecord, Work ownWork)
    : instance(std::move(ownInstance))
    , record(ownRecord)
    , work(std::move(ownWork))
    , born(unixMilliseconds())
{
    this->listener = std::make_unique<Listener>("127.0.0.1", 0, [this](Socket &socket) {
        this->serve(socket);
    });
}

std::string Server::endpoint() const
{
    return this->listener->endpoint();
}

std::vector<Server::Run> Server::runs() const
{
    const std::lock_guard lock(this->mutex);
    return this->seen;
}

void Server::stop()
{
    this->listener->stop();
}

std::string Server::entry(const std::string &serviceName, const std::string &zone, int slots, int sequence) const
{
    return "{\"info\": {\"service\": " + jsonText(serviceName) + ", \"version\": \"v1\", \"zone\": " + jsonText(zone)
           + ", \"slots\": " + std::to_string(slots) + "}, \"status\": {\"state\": \"ready\", \"seq\": "
           + std::to_string(sequence) + ", \"warmupLeftS\": 0}, \"address\": " + jsonText(this->endpoint())
           + ", \"born\": " + std::to_string(this->born) + "}";
}

void Server::serve(Socket &socket)
{
    HttpRequest request;
    for (;;) {
        const auto result = readRequest(socket, request, IdleTimeoutMs);
        if (result == ReadResult::Malformed) {
            this->record.line("server " + this->instance + " rejected bytes that are no request: "
                              + request.head.substr(0, request.head.find("\r\n")));
            socket.write(formatAnswer(
                {.status = 400, .headers = {{"Verbenadock-Not-Executed", "1"}, {"Connection", "close"}}, .body = ""}));
            return;
        }
        if (result != ReadResult::Complete) {
            return;
        }
        const auto id = request.headers.find("Verbenadock-Request-Id");
        if (!id) {
            socket.write(formatAnswer(
                {.status = 400, .headers = {{"Verbenadock-Not-Executed", "1"}, {"Connection", "close"}}, .body = ""}));
            return;
        }
        const auto expected = request.headers.find("Verbenadock-Expect-Instance");
        if (expected && *expected != this->instance) {
            if (!socket.write(formatAnswer(
                    {.status = 421,
                     .headers = {{"Verbenadock-Request-Id", *id}, {"Verbenadock-Instance-Id", this->instance}},
                     .body = ""}))) {
                return;
            }
            continue;
        }
        {
            const std::lock_guard lock(this->mutex);
            this->seen.push_back({.id = *id,
                                  .method = request.method,
                                  .target = request.target,
                                  .body = request.body,
                                  .deadline = request.headers.find("Verbenadock-Deadline-Ms")});
        }
        this->record.line("server " + this->instance + " runs id=" + *id + " " + request.method + " " + request.target
                          + " body-bytes=" + std::to_string(request.body.size())
                          + " deadline-ms=" + request.headers.find("Verbenadock-Deadline-Ms").value_or("none"));
        if (!this->work(socket, request)) {
            return;
        }
    }
}

Heartbeats::Heartbeats(Store &target, std::vector<std::pair<std::string, std::function<std::string(int)>>> written)
    : store(target)
    , entries(std::move(written))
{
    for (const auto &[instance, entry] : this->entries) {
        this->store.put("keyed.servers", instance, entry(1));
    }
    this->thread = std::thread([this] {
        std::unique_lock lock(this->mutex);
        for (int sequence = 2; !this->ending.wait_for(lock,
                                                      std::chrono::milliseconds(HeartbeatMs),
                                                      [this] {
                                                          return this->ended;
                                                      });
             ++sequence) {
            for (const auto &[instance, entry] : this->entries) {
                this->store.put("keyed.servers", instance, entry(sequence));
            }
        }
    });
}

Heartbeats::~Heartbeats()
{
    {
        const std::lock_guard lock(this->mutex);
        this->ended = true;
    }
    this->ending.notify_all();
    this->thread.join();
}

void Heartbeats::silence(const std::string &instance)
{
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->entries, [&instance](const auto &entry) {
        return entry.first == instance;
    });
}

Server::Work workFor(int milliseconds, std::string body)
{
    return [milliseconds, body = std::move(body)](Socket &socket, const HttpRequest &request) {
        sleepMs(milliseconds);
        return socket.write(
            formatAnswer({.status = 200,
                          .headers = {{"Verbenadock-Request-Id", *request.headers.find("Verbenadock-Request-Id")},
                                      {"Verbenadock-Server-Seal", "seal"}},
                          .body = body}));
    };
}

int freePort(const std::string &address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    auto local = socketAddress(address, 0);
    socklen_t size = sizeof local;
    const bool bound = ::bind(descriptor, reinterpret_cast<sockaddr *>(&local), size) == 0
                       && ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&local), &size) == 0;
    ::close(descriptor);
    if (!bound) {
        throw std::runtime_error("no free port on " + address);
    }
    return ntohs(local.sin_port);
}

Process::Process(const std::string &folder,
                 const std::string &processName,
                 const Vm &addresses,
                 const std::string &zone,
                 const std::string &store,
                 const std::vector<std::string> &seeds)
    : vm(addresses)
    , directory(folder)
    , name(processName)
{
    std::string seedList;
    for (const auto &seed : seeds) {
        seedList += (seedList.empty() ? "\"" : ", \"") + seed + "\"";
    }
    const auto endpoint = [this](int port) {
        return "\"" + this->vm.address + ":" + std::to_string(port) + "\"";
    };
    // The template deploy/entry.toml with the values of a small deployment.
    this->settings = "[process]\nvm_id = \"" + this->name + "\"\ndata_centre = \"" + zone
                     + "\"\nadmin = " + endpoint(this->vm.admin) + "\n[callers]\nlisten = " + endpoint(this->vm.front)
                     + "\n[peers]\nlisten = " + endpoint(this->vm.peers) + "\n[store]\nendpoint = \"" + store
                     + "\"\nseeds = [" + seedList
                     + "]\nprocessor_share = 0.2\nretry_allowance = 58\nretry_window_s = 10\nlink_mbps = 1000.0\n"
                       "[limits]\nproven_alive_time = \"4 s\"\nupstream_idle_time = \"6 s\"\n"
                       "configuration_wait = \"400 ms\"\nmemory_mb = 260\n"
                       "[shutdown]\ndrain_delay = \"2200 ms\"\nkill_after_s = 6.0\n";
    this->writeSettings(this->settings);
}

Process::~Process()
{
    if (this->pid > 0 && !this->result) {
        ::kill(this->pid, SIGKILL);
        this->wait(5000);
    }
}

void Process::writeSettings(const std::string &text)
{
    const auto path = this->directory + "/" + this->name + ".toml";
    std::ofstream(path + ".new", std::ios::trunc) << text;
    std::filesystem::rename(path + ".new", path);
}

std::string Process::settingsText() const
{
    return this->settings;
}

std::string Process::logPath() const
{
    return this->directory + "/" + this->name + ".log";
}

void Process::start()
{
    const auto path = this->directory + "/" + this->name + ".toml";
    const auto log = this->logPath();
    this->result.reset();
    this->pid = ::fork();
    if (this->pid < 0) {
        throw std::runtime_error("cannot start a process");
    }
    if (this->pid == 0) {
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execl("target/bin/verbenadock-entry", "verbenadock-entry", "--config", path.c_str(), nullptr);
        ::_exit(127);
    }
}

void Process::signal(int number)
{
    if (this->pid > 0 && !this->result) {
        ::kill(this->pid, number);
    }
}

std::optional<int> Process::wait(int timeoutMs)
{
    const auto end = Clock::now() + std::chrono::milliseconds(timeoutMs);
    while (!this->result) {
        int status = 0;
        if (::waitpid(this->pid, &status, WNOHANG) == this->pid) {
            this->result = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        } else if (Clock::now() >= end) {
            return std::nullopt;
        } else {
            sleepMs(2);
        }
    }
    return this->result;
}

std::size_t Process::anonymousKilobytes() const
{
    std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
    std::string word;
    std::size_t kilobytes = 0;
    while (status >> word) {
        if (word == "RssAnon:") {
            status >> kilobytes;
        }
    }
    return kilobytes;
}

bool Process::waitReady(int timeoutMs)
{
    const auto end = Clock::now() + std::chrono::milliseconds(timeoutMs);
    while (Clock::now() < end) {
        auto socket = Socket::connect(this->vm.address, this->vm.admin);
        if (socket.isOpen() && socket.write("GET /ready HTTP/1.1\r\nHost: admin\r\n\r\n")
            && readAnswer(socket, 1000).status == 200) {
            return true;
        }
        sleepMs(20);
    }
    return false;
}

TemporaryFolder::TemporaryFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "verbenadock-review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary folder");
    }
    this->path = pattern;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(this->path, ignored);
    }
}

std::string route(const std::string &name,
                  const std::string &prefix,
                  const std::string &kind,
                  const std::string &serviceName,
                  double timeoutS,
                  double targetS,
                  int maxAttempts)
{
    std::ostringstream text;
    text << "{\"entryKind\": \"routes\", \"metadata\": {\"name\": \"" << name << "\"}, \"spec\": {\"host\": \""
         << RouteHost << "\", \"pathPrefix\": \"" << prefix << "\", \"kind\": \"" << kind << "\", \"service\": \""
         << serviceName << "\", \"timeoutS\": " << timeoutS << ", \"targetLatencyS\": " << targetS
         << ", \"maxAttempts\": " << maxAttempts << ", \"priority\": 1}}";
    return text.str();
}

std::string service(const std::string &name)
{
    return "{\"entryKind\": \"services\", \"metadata\": {\"name\": \"" + name
           + "\"}, \"spec\": {\"healthPath\": \"/health\", \"maxConnections\": 330}}";
}

std::string desiredState(int version, const std::vector<std::string> &resources)
{
    std::string list;
    for (const auto &resource : resources) {
        list += resource + ", ";
    }
    return "{\"version\": \"r" + std::to_string(version) + "\", \"resources\": [" + list
           + "{\"entryKind\": \"limits\", \"metadata\": {\"name\": \"limits\"}, \"spec\": {\"maxHeaderBytes\": 16384, "
             "\"maxBodyBytes\": 8388608, \"headerTimeoutS\": 5, \"idleTimeoutS\": 15}}]}";
}

std::string requestText(const std::string &method,
                        const std::string &target,
                        const std::string &id,
                        int deadlineMs,
                        const std::optional<std::string> &body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + RouteHost + "\r\nVerbenadock-Request-Id: " + id
                       + "\r\nVerbenadock-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    if (body) {
        text += "Content-Length: " + std::to_string(body->size()) + "\r\n";
    }
    return text + "\r\n" + body.value_or("");
}

int runCase(const std::function<int(Record &, const std::string &)> &run, int argc, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    if (argc != 2) {
        std::cerr << "usage: case RECORD\n";
        return CouldNotRun;
    }
    try {
        Record record(argv[1]);
        const TemporaryFolder folder;
        try {
            const int result = run(record, folder.path);
            record.line(result == RuleHeld     ? "result: the rule held"
                        : result == RuleBroken ? "result: the rule was broken"
                                               : "result: the case could not run");
            return result;
        } catch (const std::exception &error) {
            record.line(std::string("result: the case could not run: ") + error.what());
            return CouldNotRun;
        }
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return CouldNotRun;
    }
}

} // namespace Review
