#ifndef VERBENADOCK_PROXY_REQUESTPIPELINE_H
#define VERBENADOCK_PROXY_REQUESTPIPELINE_H

#include "verbenadock/base/identifiers.h"

#include <cstddef>
#include <vector>

namespace Verbenadock::Proxy::internal {

/// The properties of a request that decide whether it may run beside other requests of its connection.
struct PipelineTraits
{
    bool idempotent = false;
    bool hasBody = false;
    bool hasIdempotencyKey = false;
    /// Whether the caller allows further requests after this one.
    bool keepAlive = true;

    auto operator<=>(const PipelineTraits &) const = default;
};

/// Order of the requests of one connection. Performs no I/O.
///
/// Usage: start() each request for which mayStart() holds, write only the answer to first(), then call finishFirst().
class RequestPipeline
{
public:
    /// Whether a request may start behind the unanswered ones, as far as these decide. At most `depth` requests are
    /// unanswered at a time; 0 counts as 1.
    bool mayStartAnother(std::size_t depth) const;

    /// Whether this request may start now.
    bool mayStart(const PipelineTraits &traits, std::size_t depth) const;

    void start(RequestId id, const PipelineTraits &traits);

    /// Whether the answer to the request is the next one to be written.
    bool isFirst(RequestId id) const;

    /// Whether the request is the last one that was started.
    bool isLast(RequestId id) const;

    /// Removes the first request, whose answer was written.
    void finishFirst();

    /// An answer closes the connection: no further request starts.
    void close();

    bool closed() const;
    bool empty() const;
    std::size_t size() const;

private:
    struct Entry
    {
        RequestId id = 0;
        PipelineTraits traits;
    };

    std::vector<Entry> unanswered;
    bool connectionCloses = false;
};

} // namespace Verbenadock::Proxy::internal

#endif
