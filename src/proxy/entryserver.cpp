#include "verbenadock/proxy/entryserver.h"

#include "host.h"

namespace Verbenadock::Proxy {

struct EntryServer::Implementation
{
    std::shared_ptr<internal::Host> host;
    Endpoint boundEndpoint;
};

EntryServer::EntryServer(boost::asio::io_context &context,
                         EntryOptions options,
                         Telemetry::MetricsRegistry &registry,
                         EntryHandlers handlers)
    : implementation(std::make_unique<Implementation>())
{
    this->implementation->host
        = std::make_shared<internal::Host>(context, std::move(options), registry, std::move(handlers));
    this->implementation->host->start();
    this->implementation->boundEndpoint = this->implementation->host->localEndpoint();
}

EntryServer::~EntryServer()
{
    this->implementation->host->stop();
}

Endpoint EntryServer::endpoint() const
{
    return this->implementation->boundEndpoint;
}

void EntryServer::apply(const Core::Event &event)
{
    this->implementation->host->apply(event);
}

void EntryServer::setLimits(const Settings::EntryLimits &limits)
{
    this->implementation->host->setLimits(limits);
}

bool EntryServer::ready() const
{
    return this->implementation->host->core().ready();
}

std::string EntryServer::dump() const
{
    auto text = this->implementation->host->core().dump(monotonicNow());
    if (auto *keys = this->implementation->host->keys()) {
        // Both dumps are JSON objects; the dump of the keys becomes a member of the other object.
        text.erase(text.find_last_of('}'));
        text += ",\"keys\":" + keys->dump() + "}";
    }
    return text;
}

std::string EntryServer::explain(const Core::RouteQuery &query) const
{
    return this->implementation->host->core().explain(query, monotonicNow());
}

void EntryServer::updateEpochs(const Control::KeyEpochs &keyEpochs)
{
    if (auto *keys = this->implementation->host->keys()) {
        keys->updateEpochs(keyEpochs);
    }
}

std::vector<Control::UpstreamEvidence> EntryServer::takeEvidence()
{
    return this->implementation->host->evidence().take();
}

std::vector<Control::DrainingUpstream> EntryServer::drains() const
{
    return this->implementation->host->drains().current(monotonicNow());
}

} // namespace Verbenadock::Proxy
