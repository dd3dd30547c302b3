#include "requestpipeline.h"

#include <catch2/catch.hpp>

using namespace Verbenadock::Proxy::internal;

namespace {

constexpr std::size_t Depth = 3;
const PipelineTraits Idempotent{.idempotent = true};
const PipelineTraits NotIdempotent{.idempotent = false};
const PipelineTraits WithBody{.idempotent = true, .hasBody = true};
const PipelineTraits WithKey{.idempotent = true, .hasIdempotencyKey = true};
const PipelineTraits Last{.idempotent = true, .keepAlive = false};

} // namespace

// Guards against a request that may run only once being started behind an answer that may close the connection.
TEST_CASE("only idempotent requests without a body and key start behind an unanswered one")
{
    for (const auto &traits : {NotIdempotent, WithBody, WithKey}) {
        RequestPipeline pipeline;
        CHECK(pipeline.mayStart(traits, Depth));
        pipeline.start(1, Idempotent);
        CHECK_FALSE(pipeline.mayStart(traits, Depth));
        CHECK(pipeline.mayStart(Idempotent, Depth));
        pipeline.finishFirst();
        CHECK(pipeline.mayStart(traits, Depth));
    }
}

// Guards against a request being started beside one that has to run alone or that ends the connection.
TEST_CASE("nothing starts behind a request that is not idempotent, has a body or key, or ends the connection")
{
    for (const auto &traits : {NotIdempotent, WithBody, WithKey, Last}) {
        RequestPipeline pipeline;
        pipeline.start(1, traits);
        CHECK_FALSE(pipeline.mayStart(Idempotent, Depth));
        pipeline.finishFirst();
        CHECK(pipeline.mayStart(Idempotent, Depth));
    }
}

// Guards against a connection that takes more than its share of the entry.
TEST_CASE("the number of unanswered requests is bounded, also when the bound changes")
{
    RequestPipeline pipeline;
    for (Verbenadock::RequestId id = 1; id <= Depth; ++id) {
        REQUIRE(pipeline.mayStart(Idempotent, Depth));
        pipeline.start(id, Idempotent);
    }
    CHECK_FALSE(pipeline.mayStart(Idempotent, Depth));
    CHECK(pipeline.mayStart(Idempotent, Depth + 1));
    pipeline.finishFirst();
    CHECK(pipeline.mayStart(Idempotent, Depth));
    CHECK_FALSE(pipeline.mayStart(Idempotent, 1));
    CHECK(RequestPipeline().mayStart(Idempotent, 0));
}

// Guards against answers in the order in which the upstreams answer.
TEST_CASE("the requests are answered in the order in which they were started")
{
    RequestPipeline pipeline;
    pipeline.start(7, Idempotent);
    pipeline.start(8, Idempotent);
    CHECK(pipeline.isFirst(7));
    CHECK_FALSE(pipeline.isFirst(8));
    CHECK(pipeline.isLast(8));
    pipeline.finishFirst();
    CHECK(pipeline.isFirst(8));
    pipeline.finishFirst();
    CHECK(pipeline.empty());
    CHECK_FALSE(pipeline.isFirst(8));
    CHECK_FALSE(pipeline.isLast(8));
}

// Guards against a request that is started behind an answer that announces the end of the connection.
TEST_CASE("nothing starts once an answer closes the connection")
{
    RequestPipeline pipeline;
    pipeline.start(1, Idempotent);
    pipeline.close();
    CHECK_FALSE(pipeline.mayStart(Idempotent, Depth));
    pipeline.finishFirst();
    CHECK_FALSE(pipeline.mayStart(Idempotent, Depth));
    CHECK(pipeline.closed());
}
