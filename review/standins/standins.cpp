#include "standins.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <regex>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace Verbenadock::Review {

namespace {

const Clock::time_point startedAt = Clock::now();
std::mutex recordMutex;
std::vector<pid_t> processes;

/// Ports of a machine, a server and the store; each has a loopback address of its own.
constexpr std::uint16_t FrontPort = 8548;
constexpr std::uint16_t ReadyPort = 8542;
constexpr std::uint16_t InternalPort = 7540;
constexpr std::uint16_t ServerPort = 8080;
constexpr double IdleSeconds = 10;
constexpr double WriteSeconds = 10;
constexpr std::size_t ReadBytes = 65536;

std::string environment(const char *name)
{
    const auto *value = std::getenv(name);
    return value == nullptr ? std::string() : std::string(value);
}

std::ofstream &recordFile()
{
    static std::ofstream file(environment("RECORD"));
    return file;
}

sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    if (::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr) != 1) {
        finish(CouldNotRun, "invalid address " + address.ip);
    }
    return result;
}

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return lower;
}

/// Waits until the socket has the event; returns false when the time is over.
bool waitFor(int descriptor, short event, Clock::time_point end)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now()).count();
    pollfd item{.fd = descriptor, .events = event, .revents = 0};
    return left > 0 && ::poll(&item, 1, static_cast<int>(left)) == 1;
}

Message parseHead(const std::string &head)
{
    Message message;
    std::istringstream lines(head);
    std::string line;
    while (std::getline(lines, line) && line != "\r") {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const auto colon = line.find(':');
        if (message.startLine.empty()) {
            message.startLine = line;
        } else if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        }
    }
    return message;
}

std::string numberBytes(std::uint64_t value, int size)
{
    std::string bytes;
    for (int byte = size - 1; byte >= 0; --byte) {
        bytes.push_back(static_cast<char>((value >> (8 * byte)) & 0xffU));
    }
    return bytes;
}

std::string base64(std::string_view bytes)
{
    constexpr std::string_view Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t position = 0; position < bytes.size(); position += 3) {
        const auto count = std::min<std::size_t>(3, bytes.size() - position);
        unsigned group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            group = (group << 8U) | (index < count ? static_cast<unsigned char>(bytes[position + index]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            text.push_back(digit <= count ? Digits[(group >> (18 - 6 * digit)) & 63U] : '=');
        }
    }
    return text;
}

std::string parameter(const std::string &target, const std::string &name)
{
    const auto query = target.find('?');
    auto start = query;
    while (start != std::string::npos) {
        const auto end = target.find('&', start + 1);
        const auto part = target.substr(start + 1, end == std::string::npos ? end : end - start - 1);
        if (part.starts_with(name + "=")) {
            return part.substr(name.size() + 1);
        }
        start = end;
    }
    return {};
}

std::string response(unsigned status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + fields
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (auto found = text.find(from); found != std::string::npos; found = text.find(from, found + to.size())) {
        text.replace(found, from.size(), to);
    }
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        finish(CouldNotRun, "cannot read " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

double now()
{
    return Seconds(Clock::now() - startedAt).count();
}

void sleepFor(double seconds)
{
    std::this_thread::sleep_for(Seconds(std::max(0.0, seconds)));
}

void sleepUntil(double second)
{
    sleepFor(second - now());
}

bool hasTrouble()
{
    return environment("TROUBLE") != "0";
}

void note(const std::string &line)
{
    const std::scoped_lock lock(recordMutex);
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f ", now());
    recordFile() << time.data() << line << std::endl;
}

void finish(int code, const std::string &verdict)
{
    note(verdict);
    std::cout << verdict << std::endl;
    for (const auto process : processes) {
        ::kill(process, SIGCONT);
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
    }
    recordFile().flush();
    // The threads of the stand-ins still run, so that no destructor may run.
    ::_exit(code);
}

std::string toString(const Address &address)
{
    return address.ip + ":" + std::to_string(address.port);
}

std::string newLoopbackAddress()
{
    static const std::string network = [] {
        std::random_device device;
        return "127." + std::to_string(10 + device() % 200) + "." + std::to_string(1 + device() % 250) + ".";
    }();
    static std::atomic<int> last = 0;
    return network + std::to_string(++last);
}

std::string Message::field(std::string_view name) const
{
    for (const auto &[fieldName, value] : this->fields) {
        if (lowerCase(fieldName) == lowerCase(name)) {
            return value;
        }
    }
    return {};
}

unsigned Message::status() const
{
    const auto space = this->startLine.find(' ');
    return space == std::string::npos ? 0 : static_cast<unsigned>(std::atoi(this->startLine.c_str() + space));
}

Connection::Connection(int socket)
    : descriptor(socket)
{
    const int on = 1;
    ::setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection()
{
    ::close(this->descriptor);
}

bool Connection::write(std::string_view bytes) const
{
    const auto end = Clock::now() + std::chrono::duration_cast<Clock::duration>(Seconds(WriteSeconds));
    while (!bytes.empty()) {
        if (!waitFor(this->descriptor, POLLOUT, end)) {
            return false;
        }
        const auto written = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (written < 0 && errno != EAGAIN) {
            return false;
        }
        bytes.remove_prefix(written > 0 ? static_cast<std::size_t>(written) : 0);
    }
    return true;
}

bool Connection::fill(Clock::time_point end)
{
    if (!waitFor(this->descriptor, POLLIN, end)) {
        return false;
    }
    std::string bytes(ReadBytes, '\0');
    const auto count = ::recv(this->descriptor, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        return false;
    }
    this->buffer.append(bytes, 0, static_cast<std::size_t>(count));
    return true;
}

std::optional<Message> Connection::read(double seconds)
{
    const auto end = Clock::now() + std::chrono::duration_cast<Clock::duration>(Seconds(seconds));
    auto headEnd = this->buffer.find("\r\n\r\n");
    while (headEnd == std::string::npos) {
        if (!this->fill(end)) {
            return std::nullopt;
        }
        headEnd = this->buffer.find("\r\n\r\n");
    }
    auto message = parseHead(this->buffer.substr(0, headEnd + 4));
    this->buffer.erase(0, headEnd + 4);
    const bool chunked = lowerCase(message.field("Transfer-Encoding")) == "chunked";
    auto length = static_cast<std::size_t>(std::atoll(message.field("Content-Length").c_str()));
    do {
        if (chunked) {
            auto lineEnd = this->buffer.find("\r\n");
            while (lineEnd == std::string::npos) {
                if (!this->fill(end)) {
                    return std::nullopt;
                }
                lineEnd = this->buffer.find("\r\n");
            }
            length = std::strtoull(this->buffer.c_str(), nullptr, 16);
            this->buffer.erase(0, lineEnd + 2);
        }
        const auto lineEndBytes = chunked ? 2U : 0U;
        while (this->buffer.size() < length + lineEndBytes) {
            if (!this->fill(end)) {
                return std::nullopt;
            }
        }
        message.body.append(this->buffer, 0, length);
        this->buffer.erase(0, length + lineEndBytes);
    } while (chunked && length > 0);
    return message;
}

bool Connection::isClosed() const
{
    char byte = 0;
    const auto count = ::recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::unique_ptr<Connection> connectTo(const Address &address)
{
    const auto target = toSocketAddress(address);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto connection = std::make_unique<Connection>(descriptor);
    const int result = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target);
    int error = result == 0 ? 0 : errno;
    if (error == EINPROGRESS) {
        socklen_t size = sizeof error;
        if (!waitFor(descriptor, POLLOUT, Clock::now() + std::chrono::seconds(1))) {
            return nullptr;
        }
        ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    return error == 0 ? std::move(connection) : nullptr;
}

Listener::Listener(const Address &address, Handler connectionHandler)
    : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , handler(std::move(connectionHandler))
{
    const int on = 1;
    const auto local = toSocketAddress(address);
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(this->descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0
        || ::listen(this->descriptor, SOMAXCONN) != 0) {
        finish(CouldNotRun, "cannot listen on " + toString(address) + ": " + std::strerror(errno));
    }
    std::thread([this] {
        this->accept();
    }).detach();
}

void Listener::accept() const
{
    for (;;) {
        const int accepted = ::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            return;
        }
        std::thread([this, accepted] {
            Connection connection(accepted);
            this->handler(connection);
        }).detach();
    }
}

void Listener::close()
{
    ::shutdown(this->descriptor, SHUT_RDWR);
}

Store::Store(const Address &address)
{
    this->open(address);
}

void Store::open(const Address &address)
{
    const auto door = toString(address);
    auto listener = std::make_unique<Listener>(address, [this, door](Connection &connection) {
        this->serve(connection, door);
    });
    const std::scoped_lock lock(this->mutex);
    this->doors[door].listener = std::move(listener);
}

int Store::readsThrough(const Address &address) const
{
    const std::scoped_lock lock(this->mutex);
    return this->doors.at(toString(address)).reads;
}

double Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::scoped_lock lock(this->mutex);
    this->topics[topic].push_back({.key = key, .value = value});
    this->changed.notify_all();
    return now();
}

void Store::serve(Connection &connection, const std::string &door)
{
    while (const auto request = connection.read(IdleSeconds)) {
        if (request->startLine.find("/v1/log-read") != std::string::npos) {
            const std::scoped_lock lock(this->mutex);
            ++this->doors[door].reads;
        }
        if (!connection.write(this->answer(*request)) || lowerCase(request->field("Connection")) == "close") {
            return;
        }
    }
}

std::string Store::answer(const Message &request)
{
    const auto first = request.startLine.find(' ');
    const auto target = request.startLine.substr(first + 1, request.startLine.rfind(' ') - first - 1);
    const auto path = target.substr(0, target.find('?'));
    const auto topic = parameter(target, "topic");
    if (path == "/v1/log-newest") {
        return this->newest(topic);
    }
    if (path == "/v1/log-read") {
        const auto from = std::strtoull(parameter(target, "from").c_str(), nullptr, 10);
        return this->read(topic, from, std::atof(parameter(target, "waitMs").c_str()) / 1000);
    }
    if (path == "/v1/log-append") {
        return this->append(topic, request.body);
    }
    return response(404, "", "");
}

std::string Store::newest(const std::string &topic)
{
    const std::scoped_lock lock(this->mutex);
    const auto &records = this->topics[topic];
    std::map<std::string, std::size_t> last;
    for (std::size_t offset = 0; offset < records.size(); ++offset) {
        last[records[offset].key] = offset;
    }
    std::string items;
    for (const auto &[key, offset] : last) {
        if (!records[offset].value.empty()) {
            items += (items.empty() ? "" : ",") + ("{\"key\":\"" + key) + "\",\"value\":\""
                     + base64(records[offset].value) + "\",\"offset\":" + std::to_string(offset) + "}";
        }
    }
    return response(200,
                    "Content-Type: application/json\r\n",
                    "{\"items\":[" + items + "],\"hasMore\":false,\"end\":" + std::to_string(records.size()) + "}");
}

std::string Store::read(const std::string &topic, std::uint64_t from, double wait)
{
    std::unique_lock lock(this->mutex);
    const auto &records = this->topics[topic];
    this->changed.wait_for(lock, Seconds(wait), [&records, from] {
        return records.size() > from;
    });
    auto body = numberBytes(records.size(), 8) + numberBytes(0, 8);
    for (auto offset = from; offset < records.size(); ++offset) {
        const auto &record = records[offset];
        const auto content = numberBytes(record.key.size(), 1) + record.key + record.value;
        body += numberBytes(content.size(), 4) + content;
    }
    return response(200, "", body);
}

std::string Store::append(const std::string &topic, std::string_view body)
{
    const std::scoped_lock lock(this->mutex);
    auto &records = this->topics[topic];
    const auto offset = records.size();
    while (body.size() > 4) {
        std::size_t length = 0;
        for (std::size_t byte = 0; byte < 4; ++byte) {
            length = (length << 8U) | static_cast<unsigned char>(body[byte]);
        }
        const auto content = body.substr(4, length);
        const auto keyLength = static_cast<unsigned char>(content.front());
        records.push_back(
            {.key = std::string(content.substr(1, keyLength)), .value = std::string(content.substr(1 + keyLength))});
        body.remove_prefix(4 + length);
    }
    this->changed.notify_all();
    return response(200,
                    "Content-Type: application/json\r\n",
                    "{\"offset\":" + std::to_string(offset) + ",\"end\":" + std::to_string(records.size()) + "}");
}

Server::Server(Store &platformStore, std::string serverId, std::string serverService, double workSeconds)
    : store(platformStore)
    , id(std::move(serverId))
    , service(std::move(serverService))
    , work(workSeconds)
    , address{.ip = newLoopbackAddress(), .port = ServerPort}
    , listener(std::make_unique<Listener>(this->address, [this](Connection &connection) {
        this->serve(connection);
    }))
{
}

double Server::report(const std::string &state)
{
    const std::scoped_lock lock(this->mutex);
    ++this->sequence;
    const auto value = "{\"address\":\"" + toString(this->address)
                       + "\",\"born\":1700000000000,\"info\":{\"service\":\"" + this->service
                       + "\",\"version\":\"v1\",\"zone\":\"zone-a\",\"slots\":4},\"status\":{\"state\":\"" + state
                       + "\",\"seq\":" + std::to_string(this->sequence) + ",\"warmupLeftS\":0}}";
    const auto confirmedAt = this->store.put("keyed.servers", this->id, value);
    note("server " + this->id + " reports " + state);
    return confirmedAt;
}

void Server::exit()
{
    const std::scoped_lock lock(this->mutex);
    this->ended = true;
    this->listener->close();
    note("server " + this->id + " ends");
}

std::vector<Run> Server::runs() const
{
    const std::scoped_lock lock(this->mutex);
    return this->recorded;
}

const std::string &Server::name() const
{
    return this->id;
}

void Server::serve(Connection &connection)
{
    while (const auto request = connection.read(IdleSeconds)) {
        const auto answer = this->run(*request);
        if (answer.empty() || !connection.write(answer)) {
            return;
        }
    }
}

std::string Server::run(const Message &request)
{
    const auto requestId = request.field("Verbenadock-Request-Id");
    const auto echo = "Verbenadock-Request-Id: " + requestId + "\r\n";
    const auto expected = request.field("Verbenadock-Expect-Instance");
    const auto methodEnd = request.startLine.find(' ');
    Run run{.request = requestId,
            .server = this->id,
            .service = this->service,
            .method = request.startLine.substr(0, methodEnd),
            .target = request.startLine.substr(methodEnd + 1, request.startLine.rfind(' ') - methodEnd - 1),
            .bodyBytes = request.body.size(),
            .arrivedAt = now(),
            .endedAt = 0};
    if (run.target == "/health") {
        return response(200, "Verbenadock-Instance-Id: " + this->id + "\r\n", "");
    }
    if (!expected.empty() && expected != this->id) {
        return response(421, echo + "Verbenadock-Instance-Id: " + this->id + "\r\n", "");
    }
    std::size_t index = 0;
    {
        const std::scoped_lock lock(this->mutex);
        if (this->ended) {
            return {};
        }
        index = this->recorded.size();
        this->recorded.push_back(run);
    }
    const auto end = now() + this->work;
    while (now() < end) {
        sleepFor(std::min(0.01, end - now()));
        const std::scoped_lock lock(this->mutex);
        if (this->ended) {
            note("server " + this->id + " ended while it worked on " + requestId);
            return {};
        }
    }
    const std::scoped_lock lock(this->mutex);
    this->recorded[index].endedAt = now();
    return response(200,
                    echo + "Verbenadock-Server-Seal: " + this->id + "." + requestId + "\r\n",
                    "done by " + this->service + "\n");
}

std::string toJson(const Desired &desired)
{
    std::ostringstream json;
    json << "{\"version\":\"" << desired.version << "\",\"resources\":[";
    for (const auto &service : desired.services) {
        json << "{\"entryKind\":\"services\",\"metadata\":{\"name\":\"" << service
             << "\"},\"spec\":{\"healthPath\":\"/health\",\"maxConnections\":330,\"protocol\":\"h1\",\"tls\":false}},";
    }
    for (const auto &route : desired.routes) {
        json << "{\"entryKind\":\"routes\",\"metadata\":{\"name\":\"" << route.name << "\"},\"spec\":{\"host\":\""
             << Host << "\",\"pathPrefix\":\"" << route.prefix << "\",\"kind\":\"" << route.kind
             << "\",\"timeoutS\":" << desired.timeout << ",\"targetLatencyS\":1.2,\"priority\":1,\"service\":\""
             << route.service << "\",\"maxAttempts\":2}},";
    }
    json << "{\"entryKind\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":" << desired.maxHeaderBytes
         << ",\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}]}";
    return json.str();
}

Machine::Machine(std::string machineName, const Address &storeAddress, std::string machineZone)
    : id(std::move(machineName))
    , store(storeAddress)
    , zone(std::move(machineZone))
    , ip(newLoopbackAddress())
    , frontAddress{.ip = this->ip, .port = FrontPort}
    , adminAddress{.ip = this->ip, .port = ReadyPort}
{
}

std::string Machine::settings() const
{
    // Fills in the template of the deploy file as the platform does.
    auto text = readFile("deploy/entry.toml");
    replaceAll(text, R"({{#seeds}}"{{.}}"{{,}}{{/seeds}})", "");
    // All values are present, so that sections are kept and only their marks go.
    text = std::regex_replace(text, std::regex(R"(\{\{[#/][A-Za-z.]+\}\})"), "");
    const std::map<std::string, std::string> values{{"nodeName", this->id},
                                                    {"zone", this->zone},
                                                    {"ip", this->ip},
                                                    {"listen.ready", toString(this->adminAddress)},
                                                    {"listen.front", toString(this->frontAddress)},
                                                    {"internalPortRange.0", std::to_string(InternalPort)},
                                                    {"platform.address", toString(this->store)},
                                                    {"limits.cpuShare", "0.2"},
                                                    {"bounds.retryBudgetSlack", "58"},
                                                    {"bounds.budgetWindowS", "10"},
                                                    {"bounds.graceS", environment("GRACE_S")},
                                                    {"bounds.drainS", "2"},
                                                    {"bounds.stableWindowS", "3"},
                                                    {"bounds.configApplyS", "2"}};
    for (const auto &[name, value] : values) {
        replaceAll(text, "{{" + name + "}}", value);
    }
    return text;
}

void Machine::start()
{
    const auto folder = environment("FOLDER");
    const auto file = folder + "/" + this->id + ".toml";
    std::ofstream(file) << this->settings();
    // The command of the role in the deploy file, with the place of this machine's settings file.
    auto command = environment("ENTRY_COMMAND");
    replaceAll(command, "/etc/verbenadock/node.json", file);
    std::istringstream splitter(command);
    std::vector<std::string> words;
    for (std::string word; splitter >> word;) {
        words.push_back(word);
    }
    if (words.empty()) {
        finish(CouldNotRun, "the deploy file names no command");
    }
    const auto logFile = folder + "/" + this->id + ".log";
    this->process = ::fork();
    if (this->process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        std::vector<char *> arguments;
        for (auto &word : words) {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        ::execv(arguments.front(), arguments.data());
        ::_exit(127);
    }
    processes.push_back(this->process);
    const auto end = now() + 10;
    while (!this->isReady()) {
        if (now() > end || this->hasEnded()) {
            finish(CouldNotRun, "machine " + this->id + " is not ready");
        }
        sleepFor(0.05);
    }
    note("machine " + this->id + " is ready");
}

void Machine::signal(int number) const
{
    note("signal " + std::to_string(number) + " to machine " + this->id);
    ::kill(this->process, number);
}

bool Machine::hasEnded()
{
    if (this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) == this->process) {
        std::erase(processes, this->process);
        this->process = -1;
        note("process of machine " + this->id + " ended");
    }
    return this->process < 0;
}

bool Machine::isReady() const
{
    const auto connection = connectTo(this->adminAddress);
    if (!connection || !connection->write("GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")) {
        return false;
    }
    const auto answer = connection->read(1);
    return answer && answer->status() == 200;
}

double Machine::processorSeconds() const
{
    std::ifstream file("/proc/" + std::to_string(this->process) + "/stat");
    std::string line;
    std::getline(file, line);
    // User and system time are the fields 14 and 15; the name in field 2 ends with the last parenthesis.
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string field;
    double ticks = 0;
    for (int number = 3; number <= 15 && fields >> field; ++number) {
        ticks += number >= 14 ? std::atof(field.c_str()) : 0;
    }
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

const Address &Machine::front() const
{
    return this->frontAddress;
}

const std::string &Machine::name() const
{
    return this->id;
}

std::string requestHead(const std::string &method,
                        const std::string &target,
                        const std::string &id,
                        unsigned timeBudgetMs,
                        std::size_t bodyBytes)
{
    return method + " " + target + " HTTP/1.1\r\nHost: " + std::string(Host) + "\r\nVerbenadock-Request-Id: " + id
           + "\r\nVerbenadock-Deadline-Ms: " + std::to_string(timeBudgetMs) + "\r\n"
           + (method == "GET" ? "" : "Content-Length: " + std::to_string(bodyBytes) + "\r\n") + "\r\n";
}

std::string describe(const Outcome &outcome)
{
    std::ostringstream text;
    text << "consumer: request " << outcome.request << " sent at " << outcome.sentAt << ", ";
    if (outcome.answer) {
        text << "answered " << outcome.answer->status() << " at " << outcome.endedAt << " "
             << outcome.answer->body.substr(0, 100);
    } else {
        text << "connection ended without a complete answer at " << outcome.endedAt;
    }
    auto line = text.str();
    std::erase(line, '\n');
    return line;
}

std::string describe(const Run &run)
{
    std::ostringstream text;
    text << "server " << run.server << " of " << run.service << ": ran " << run.request << " " << run.method << " "
         << run.target << " (" << run.bodyBytes << " bytes) from " << run.arrivedAt << " to ";
    run.endedAt > 0 ? text << run.endedAt : text << "(not ended)";
    return text.str();
}

Outcome call(const Address &front,
             const std::string &method,
             const std::string &target,
             const std::string &id,
             unsigned timeBudgetMs,
             const std::string &body)
{
    Outcome outcome{.request = id, .sentAt = now(), .endedAt = 0, .answer = std::nullopt};
    const auto connection = connectTo(front);
    if (connection && connection->write(requestHead(method, target, id, timeBudgetMs, body.size()) + body)) {
        outcome.answer = connection->read(timeBudgetMs / 1000.0 + 1);
    }
    outcome.endedAt = now();
    return outcome;
}

} // namespace Verbenadock::Review
