#include "entryfixture.h"

#include <boost/asio/post.hpp>
#include <future>

namespace Verbenadock::Testing {

namespace {

std::shared_ptr<const Core::Configuration> configurationOf(const Bundles::Service &service,
                                                           const std::vector<Bundles::Customer> &customers,
                                                           std::uint64_t revision)
{
    auto configuration = std::make_shared<Core::Configuration>();
    configuration->revision = revision;
    Bundles::Bundle bundle{.name = "test", .version = 1, .services = {service}, .routes = {}, .callerLimits = {}};
    for (const std::string method : {"GET", "HEAD", "PUT", "POST"}) {
        bundle.routes.push_back(Bundles::Route{
            .method = method, .service = service.name, .idempotent = method != "POST", .isPublic = method != "POST"});
    }
    bundle.customers = customers;
    configuration->bundles.push_back(std::move(bundle));
    return configuration;
}

} // namespace

FixtureOptions optionsFor(const std::vector<Endpoint> &upstreams)
{
    FixtureOptions options;
    options.service.name = "service";
    options.service.timeouts = {.connect = std::chrono::milliseconds(500),
                                .firstByte = std::chrono::milliseconds(400),
                                .total = std::chrono::seconds(8)};
    options.service.budgets = {.retryPercent = 100, .hedgePercent = 0};
    for (const auto &endpoint : upstreams) {
        options.service.upstreams.push_back(Bundles::Upstream{
            .id = "u" + std::to_string(endpoint.port), .endpoint = endpoint, .dataCentre = "test", .slots = 16});
    }
    return options;
}

EntryFixture::EntryFixture(const FixtureOptions &given)
    : options(given)
    , work(this->context.get_executor())
{
    Proxy::EntryOptions entry;
    entry.listen = {.address = "127.0.5.1", .port = 0};
    entry.limits = given.limits;
    entry.reducer.dataCentre = "test";
    entry.instance = "test-1";
    entry.dialect = given.dialect;
    Proxy::EntryHandlers handlers;
    handlers.terminated = [this](bool clean) {
        this->terminated = clean;
        this->ended = true;
    };
    this->server = std::make_unique<Proxy::EntryServer>(this->context, entry, this->registry, handlers);
    if (given.startsConfigured) {
        this->applyConfiguration();
    }
    this->thread = std::thread([this] {
        this->context.run();
    });
}

EntryFixture::~EntryFixture()
{
    this->runOnLoop([this] {
        this->server.reset();
    });
    this->work.reset();
    this->thread.join();
}

void EntryFixture::configure() const
{
    this->runOnLoop([this] {
        this->applyConfiguration();
    });
}

void EntryFixture::applyConfiguration() const
{
    this->server->apply(Core::ConfigurationChanged{
        .at = monotonicNow(),
        .configuration = configurationOf(this->options.service, this->options.customers, this->revision)});
    this->server->apply(Core::ConfigurationConfirmed{.at = monotonicNow()});
}

Endpoint EntryFixture::endpoint() const
{
    return this->server->endpoint();
}

ReceivedMessage EntryFixture::exchange(const std::string &request) const
{
    TestSocket caller(this->endpoint());
    caller.send(request);
    return caller.readMessage(request.starts_with("HEAD"));
}

void EntryFixture::setCustomers(const std::vector<Bundles::Customer> &customers)
{
    this->options.customers = customers;
    ++this->revision;
    this->configure();
}

void EntryFixture::setLimits(const Settings::EntryLimits &limits) const
{
    this->runOnLoop([this, &limits] {
        this->server->setLimits(limits);
    });
}

void EntryFixture::shutDown(Duration drainDelay, Duration limit)
{
    this->runOnLoop([this, drainDelay, limit] {
        this->server->apply(Core::ShutdownRequested{.at = monotonicNow(), .drainDelay = drainDelay, .limit = limit});
    });
}

bool EntryFixture::hasTerminated() const
{
    return this->ended;
}

bool EntryFixture::terminatedCleanly() const
{
    return this->terminated;
}

double EntryFixture::metric(const std::string &series) const
{
    std::string text;
    this->runOnLoop([this, &text] {
        text = this->registry.prometheusText();
    });
    const auto start = text.find("\n" + series + " ");
    return start == std::string::npos ? 0 : std::stod(text.substr(start + series.size() + 2));
}

void EntryFixture::runOnLoop(const std::function<void()> &task) const
{
    std::promise<void> done;
    boost::asio::post(this->context, [&task, &done] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

bool eventually(const std::function<bool()> &condition)
{
    const auto end = monotonicNow() + std::chrono::seconds(10);
    while (!condition()) {
        if (monotonicNow() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
}

} // namespace Verbenadock::Testing
