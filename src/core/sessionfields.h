#ifndef VERBENADOCK_CORE_SESSIONFIELDS_H
#define VERBENADOCK_CORE_SESSIONFIELDS_H

#include "verbenadock/core/effect.h"
#include "verbenadock/core/event.h"
#include "verbenadock/core/reducer.h"

#include <array>
#include <string_view>
#include <tuple>
#include <type_traits>

namespace Verbenadock::Core::Internal {

/// A member of a recorded type and its name in JSON.
template<typename Owner, typename Member>
struct Field
{
    const char *name;
    Member Owner::*member;
};

template<typename Owner, typename Member>
Field(const char *, Member Owner::*) -> Field<Owner, Member>;

/// Recorded members of a type; specialized for each type that is written as a JSON object.
template<typename Type>
inline constexpr std::tuple<> FieldsOf{};

/// Name of an event, an effect or a state change.
template<typename Type>
inline constexpr std::string_view NameOf{};

/// Whether members with default values are written too, so that they are visible to readers of the session.
template<typename Type>
inline constexpr bool WritesDefaults = false;

template<>
inline constexpr bool WritesDefaults<RespondLocally> = true;
template<>
inline constexpr bool WritesDefaults<Terminate> = true;

template<>
inline constexpr std::tuple FieldsOf<ReducerSettings>{
    Field{"data_centre", &ReducerSettings::dataCentre},
    Field{"seed", &ReducerSettings::seed},
    Field{"request_limit", &ReducerSettings::requestLimit},
    Field{"revocation", &ReducerSettings::revocation},
    Field{"confirms_configuration", &ReducerSettings::confirmsConfiguration}};
template<>
inline constexpr std::tuple FieldsOf<UpstreamKey>{Field{"bundle", &UpstreamKey::bundle},
                                                  Field{"service", &UpstreamKey::service},
                                                  Field{"upstream", &UpstreamKey::upstream}};
template<>
inline constexpr std::tuple FieldsOf<Bundles::Upstream>{
    Field{"id", &Bundles::Upstream::id},
    Field{"endpoint", &Bundles::Upstream::endpoint},
    Field{"data_centre", &Bundles::Upstream::dataCentre},
    Field{"slots", &Bundles::Upstream::slots},
    Field{"connection_limit", &Bundles::Upstream::connectionLimit},
    Field{"instance", &Bundles::Upstream::instance},
    Field{"remaining_warm_up", &Bundles::Upstream::remainingWarmUp}};
template<>
inline constexpr std::tuple FieldsOf<Bundles::Timeouts>{Field{"connect", &Bundles::Timeouts::connect},
                                                        Field{"first_byte", &Bundles::Timeouts::firstByte},
                                                        Field{"total", &Bundles::Timeouts::total}};
template<>
inline constexpr std::tuple FieldsOf<Bundles::Detection>{
    Field{"samples_between_false_alarms", &Bundles::Detection::samplesBetweenFalseAlarms},
    Field{"failure_rate", &Bundles::Detection::failureRate},
    Field{"slow_factor", &Bundles::Detection::slowFactor},
    Field{"first_ejection", &Bundles::Detection::firstEjection},
    Field{"longest_ejection", &Bundles::Detection::longestEjection},
    Field{"trial_patience", &Bundles::Detection::trialPatience},
    Field{"pool_decides", &Bundles::Detection::poolDecides}};
template<>
inline constexpr std::tuple FieldsOf<Bundles::Budgets>{
    Field{"retry_percent", &Bundles::Budgets::retryPercent},
    Field{"hedge_percent", &Bundles::Budgets::hedgePercent},
    Field{"retry_reserve", &Bundles::Budgets::retryReserve},
    Field{"retry_reserve_per_second", &Bundles::Budgets::retryReservePerSecond},
    Field{"token_limit", &Bundles::Budgets::tokenLimit},
    Field{"covers_all_attempts", &Bundles::Budgets::coversAllAttempts}};
template<>
inline constexpr std::tuple FieldsOf<Bundles::Service>{
    Field{"name", &Bundles::Service::name},
    Field{"upstreams", &Bundles::Service::upstreams},
    Field{"timeouts", &Bundles::Service::timeouts},
    Field{"detection", &Bundles::Service::detection},
    Field{"budgets", &Bundles::Service::budgets},
    Field{"floor_percent", &Bundles::Service::floorPercent},
    Field{"queue_limit", &Bundles::Service::queueLimit},
    Field{"hold_back_bytes", &Bundles::Service::holdBackBytes},
    Field{"replay_bytes", &Bundles::Service::replayBytes},
    Field{"echoes_attempt_id", &Bundles::Service::echoesAttemptId},
    Field{"prefers_own_data_centre", &Bundles::Service::prefersOwnDataCentre},
    Field{"ids_name_processes", &Bundles::Service::idsNameProcesses},
    Field{"balancing", &Bundles::Service::balancing},
    Field{"sharing", &Bundles::Service::sharing}};
template<>
inline constexpr std::tuple FieldsOf<Bundles::KeyDigest>{Field{"sha256", &Bundles::KeyDigest::bytes}};
template<>
inline constexpr std::tuple FieldsOf<Bundles::Customer>{
    Field{"name", &Bundles::Customer::name},
    Field{"keys", &Bundles::Customer::keys},
    Field{"priority", &Bundles::Customer::priority},
    Field{"requests_per_second", &Bundles::Customer::requestsPerSecond},
    Field{"burst", &Bundles::Customer::burst}};
template<>
inline constexpr std::tuple FieldsOf<Bundles::WeightedService>{Field{"service", &Bundles::WeightedService::service},
                                                               Field{"weight", &Bundles::WeightedService::weight}};
template<>
inline constexpr std::tuple FieldsOf<Bundles::Route>{Field{"host", &Bundles::Route::host},
                                                     Field{"method", &Bundles::Route::method},
                                                     Field{"path_prefix", &Bundles::Route::pathPrefix},
                                                     Field{"service", &Bundles::Route::service},
                                                     Field{"idempotent", &Bundles::Route::idempotent},
                                                     Field{"priority", &Bundles::Route::priority},
                                                     Field{"split", &Bundles::Route::split},
                                                     Field{"timeout", &Bundles::Route::timeout},
                                                     Field{"max_attempts", &Bundles::Route::maxAttempts},
                                                     Field{"public", &Bundles::Route::isPublic},
                                                     Field{"large_answers", &Bundles::Route::hasLargeAnswers}};
template<>
inline constexpr std::tuple FieldsOf<Bundles::CallerLimit>{
    Field{"caller", &Bundles::CallerLimit::caller},
    Field{"requests_per_second", &Bundles::CallerLimit::requestsPerSecond},
    Field{"burst", &Bundles::CallerLimit::burst}};
template<>
inline constexpr std::tuple FieldsOf<Bundles::Bundle>{Field{"name", &Bundles::Bundle::name},
                                                      Field{"version", &Bundles::Bundle::version},
                                                      Field{"services", &Bundles::Bundle::services},
                                                      Field{"routes", &Bundles::Bundle::routes},
                                                      Field{"caller_limits", &Bundles::Bundle::callerLimits},
                                                      Field{"customers", &Bundles::Bundle::customers}};
template<>
inline constexpr std::tuple FieldsOf<Configuration>{Field{"revision", &Configuration::revision},
                                                    Field{"bundles", &Configuration::bundles}};
template<>
inline constexpr std::tuple FieldsOf<HealthVerdict>{Field{"upstream", &HealthVerdict::upstream},
                                                    Field{"sick", &HealthVerdict::sick},
                                                    Field{"share", &HealthVerdict::share},
                                                    Field{"doubts_connections", &HealthVerdict::doubtsConnections}};
template<>
inline constexpr std::tuple FieldsOf<Health::Sample>{Field{"at", &Health::Sample::at},
                                                     Field{"cause", &Health::Sample::cause},
                                                     Field{"latency", &Health::Sample::latency}};
template<>
inline constexpr std::tuple FieldsOf<Health::HealthTransition>{Field{"upstream", &Health::HealthTransition::upstream},
                                                               Field{"from", &Health::HealthTransition::from},
                                                               Field{"to", &Health::HealthTransition::to},
                                                               Field{"cause", &Health::HealthTransition::cause}};

// Events.

template<>
inline constexpr std::string_view NameOf<RequestArrived> = "RequestArrived";
template<>
inline constexpr std::tuple FieldsOf<RequestArrived>{Field{"at", &RequestArrived::at},
                                                     Field{"request", &RequestArrived::request},
                                                     Field{"host", &RequestArrived::host},
                                                     Field{"method", &RequestArrived::method},
                                                     Field{"target", &RequestArrived::target},
                                                     Field{"caller", &RequestArrived::caller},
                                                     Field{"idempotency_key", &RequestArrived::idempotencyKey},
                                                     Field{"body_bytes", &RequestArrived::bodyBytes},
                                                     Field{"time_left", &RequestArrived::timeLeft},
                                                     Field{"key", &RequestArrived::key}};
template<>
inline constexpr std::string_view NameOf<ResponseHeadReceived> = "ResponseHeadReceived";
template<>
inline constexpr std::tuple FieldsOf<ResponseHeadReceived>{Field{"at", &ResponseHeadReceived::at},
                                                           Field{"request", &ResponseHeadReceived::request},
                                                           Field{"attempt", &ResponseHeadReceived::attempt},
                                                           Field{"status", &ResponseHeadReceived::status}};
template<>
inline constexpr std::string_view NameOf<AttemptCompleted> = "AttemptCompleted";
template<>
inline constexpr std::tuple FieldsOf<AttemptCompleted>{Field{"at", &AttemptCompleted::at},
                                                       Field{"request", &AttemptCompleted::request},
                                                       Field{"attempt", &AttemptCompleted::attempt},
                                                       Field{"status", &AttemptCompleted::status},
                                                       Field{"not_run", &AttemptCompleted::notRun},
                                                       Field{"misdirected", &AttemptCompleted::misdirected}};
template<>
inline constexpr std::string_view NameOf<UpstreamAnnounced> = "UpstreamAnnounced";
template<>
inline constexpr std::tuple FieldsOf<UpstreamAnnounced>{Field{"at", &UpstreamAnnounced::at},
                                                        Field{"upstream", &UpstreamAnnounced::upstream},
                                                        Field{"leaving", &UpstreamAnnounced::leaving},
                                                        Field{"pause", &UpstreamAnnounced::pause}};
template<>
inline constexpr std::string_view NameOf<AttemptFailed> = "AttemptFailed";
template<>
inline constexpr std::tuple FieldsOf<AttemptFailed>{Field{"at", &AttemptFailed::at},
                                                    Field{"request", &AttemptFailed::request},
                                                    Field{"attempt", &AttemptFailed::attempt},
                                                    Field{"cause", &AttemptFailed::cause},
                                                    Field{"nothing_written", &AttemptFailed::nothingWritten}};
template<>
inline constexpr std::string_view NameOf<CallerDisconnected> = "CallerDisconnected";
template<>
inline constexpr std::tuple FieldsOf<CallerDisconnected>{Field{"at", &CallerDisconnected::at},
                                                         Field{"request", &CallerDisconnected::request}};
template<>
inline constexpr std::string_view NameOf<ConfigurationChanged> = "ConfigurationChanged";
template<>
inline constexpr std::tuple FieldsOf<ConfigurationChanged>{
    Field{"at", &ConfigurationChanged::at},
    Field{"configuration", &ConfigurationChanged::configuration}};
template<>
inline constexpr std::string_view NameOf<HealthChanged> = "HealthChanged";
template<>
inline constexpr std::tuple FieldsOf<HealthChanged>{Field{"at", &HealthChanged::at},
                                                    Field{"verdicts", &HealthChanged::verdicts}};
template<>
inline constexpr std::string_view NameOf<LeavingChanged> = "LeavingChanged";
template<>
inline constexpr std::tuple FieldsOf<LeavingChanged>{Field{"at", &LeavingChanged::at},
                                                     Field{"addresses", &LeavingChanged::addresses}};
template<>
inline constexpr std::string_view NameOf<LoadChanged> = "LoadChanged";
template<>
inline constexpr std::tuple FieldsOf<LoadChanged>{Field{"at", &LoadChanged::at},
                                                  Field{"upstream", &LoadChanged::upstream},
                                                  Field{"others_in_flight", &LoadChanged::otherEntriesInFlight},
                                                  Field{"includes_own", &LoadChanged::includesOwn}};
template<>
inline constexpr std::string_view NameOf<DataCentreLoadChanged> = "DataCentreLoadChanged";
template<>
inline constexpr std::tuple FieldsOf<DataCentreLoadChanged>{Field{"at", &DataCentreLoadChanged::at},
                                                            Field{"bundle", &DataCentreLoadChanged::bundle},
                                                            Field{"service", &DataCentreLoadChanged::service},
                                                            Field{"data_centre", &DataCentreLoadChanged::dataCentre},
                                                            Field{"load", &DataCentreLoadChanged::load}};
template<>
inline constexpr std::string_view NameOf<ReserveUsed> = "ReserveUsed";
template<>
inline constexpr std::tuple FieldsOf<ReserveUsed>{Field{"at", &ReserveUsed::at},
                                                  Field{"bundle", &ReserveUsed::bundle},
                                                  Field{"service", &ReserveUsed::service}};
template<>
inline constexpr std::string_view NameOf<ConfigurationConfirmed> = "ConfigurationConfirmed";
template<>
inline constexpr std::tuple FieldsOf<ConfigurationConfirmed>{Field{"at", &ConfigurationConfirmed::at}};
template<>
inline constexpr std::string_view NameOf<ConfigurationSuperseded> = "ConfigurationSuperseded";
template<>
inline constexpr std::tuple FieldsOf<ConfigurationSuperseded>{
    Field{"at", &ConfigurationSuperseded::at},
    Field{"superseded", &ConfigurationSuperseded::superseded}};
template<>
inline constexpr std::string_view NameOf<AllowanceDecided> = "AllowanceDecided";
template<>
inline constexpr std::tuple FieldsOf<AllowanceDecided>{Field{"at", &AllowanceDecided::at},
                                                       Field{"request", &AllowanceDecided::request},
                                                       Field{"decision", &AllowanceDecided::decision},
                                                       Field{"retry_after", &AllowanceDecided::retryAfter}};
template<>
inline constexpr std::string_view NameOf<TimerExpired> = "TimerExpired";
template<>
inline constexpr std::tuple FieldsOf<TimerExpired>{Field{"at", &TimerExpired::at}};
template<>
inline constexpr std::string_view NameOf<ShutdownRequested> = "ShutdownRequested";
template<>
inline constexpr std::tuple FieldsOf<ShutdownRequested>{Field{"at", &ShutdownRequested::at},
                                                        Field{"drain_delay", &ShutdownRequested::drainDelay},
                                                        Field{"limit", &ShutdownRequested::limit}};

// Effects.

template<>
inline constexpr std::string_view NameOf<StartAttempt> = "StartAttempt";
template<>
inline constexpr std::tuple FieldsOf<StartAttempt>{Field{"request", &StartAttempt::request},
                                                   Field{"attempt", &StartAttempt::attempt},
                                                   Field{"upstream", &StartAttempt::upstream},
                                                   Field{"endpoint", &StartAttempt::endpoint},
                                                   Field{"policy", &StartAttempt::policy},
                                                   Field{"connect_timeout", &StartAttempt::connectTimeout},
                                                   Field{"first_byte_timeout", &StartAttempt::firstByteTimeout},
                                                   Field{"deadline", &StartAttempt::deadline},
                                                   Field{"hold_back_bytes", &StartAttempt::holdBackBytes},
                                                   Field{"replay_bytes", &StartAttempt::replayBytes},
                                                   Field{"echoes_attempt_id", &StartAttempt::echoesAttemptId},
                                                   Field{"instance", &StartAttempt::instance},
                                                   Field{"customer", &StartAttempt::customer},
                                                   Field{"hides_credentials", &StartAttempt::hidesCredentials}};
template<>
inline constexpr std::string_view NameOf<CancelAttempt> = "CancelAttempt";
template<>
inline constexpr std::tuple FieldsOf<CancelAttempt>{Field{"request", &CancelAttempt::request},
                                                    Field{"attempt", &CancelAttempt::attempt}};
template<>
inline constexpr std::string_view NameOf<ForwardAnswer> = "ForwardAnswer";
template<>
inline constexpr std::tuple FieldsOf<ForwardAnswer>{Field{"request", &ForwardAnswer::request},
                                                    Field{"attempt", &ForwardAnswer::attempt}};
template<>
inline constexpr std::string_view NameOf<RespondLocally> = "RespondLocally";
template<>
inline constexpr std::tuple FieldsOf<RespondLocally>{Field{"request", &RespondLocally::request},
                                                     Field{"status", &RespondLocally::status},
                                                     Field{"outcome", &RespondLocally::outcome},
                                                     Field{"refusal", &RespondLocally::refusal},
                                                     Field{"retry_after", &RespondLocally::retryAfter}};
template<>
inline constexpr std::string_view NameOf<AbortCaller> = "AbortCaller";
template<>
inline constexpr std::tuple FieldsOf<AbortCaller>{Field{"request", &AbortCaller::request}};
template<>
inline constexpr std::string_view NameOf<ReportEvidence> = "ReportEvidence";
template<>
inline constexpr std::tuple FieldsOf<ReportEvidence>{Field{"upstream", &ReportEvidence::upstream},
                                                     Field{"sample", &ReportEvidence::sample}};
template<>
inline constexpr std::string_view NameOf<ReportLoad> = "ReportLoad";
template<>
inline constexpr std::tuple FieldsOf<ReportLoad>{Field{"upstream", &ReportLoad::upstream},
                                                 Field{"in_flight", &ReportLoad::inFlight},
                                                 Field{"data_centre", &ReportLoad::dataCentre}};
template<>
inline constexpr std::string_view NameOf<ReportReserveUse> = "ReportReserveUse";
template<>
inline constexpr std::tuple FieldsOf<ReportReserveUse>{Field{"bundle", &ReportReserveUse::bundle},
                                                       Field{"service", &ReportReserveUse::service}};
template<>
inline constexpr std::string_view NameOf<ReserveAllowance> = "ReserveAllowance";
template<>
inline constexpr std::tuple FieldsOf<ReserveAllowance>{Field{"request", &ReserveAllowance::request},
                                                       Field{"bundle", &ReserveAllowance::bundle},
                                                       Field{"customer", &ReserveAllowance::customer}};
template<>
inline constexpr std::string_view NameOf<ReturnAllowance> = "ReturnAllowance";
template<>
inline constexpr std::tuple FieldsOf<ReturnAllowance>{Field{"request", &ReturnAllowance::request},
                                                      Field{"bundle", &ReturnAllowance::bundle},
                                                      Field{"customer", &ReturnAllowance::customer}};
template<>
inline constexpr std::string_view NameOf<ReportStateChange> = "ReportStateChange";
template<>
inline constexpr std::tuple FieldsOf<ReportStateChange>{Field{"change", &ReportStateChange::change}};
template<>
inline constexpr std::string_view NameOf<HealthStateChanged> = "HealthStateChanged";
template<>
inline constexpr std::tuple FieldsOf<HealthStateChanged>{Field{"upstream", &HealthStateChanged::upstream},
                                                         Field{"transition", &HealthStateChanged::transition}};
template<>
inline constexpr std::string_view NameOf<ConfigurationInForce> = "ConfigurationInForce";
template<>
inline constexpr std::tuple FieldsOf<ConfigurationInForce>{Field{"revision", &ConfigurationInForce::revision},
                                                           Field{"services", &ConfigurationInForce::services},
                                                           Field{"routes", &ConfigurationInForce::routes}};
template<>
inline constexpr std::string_view NameOf<UpstreamLeaving> = "UpstreamLeaving";
template<>
inline constexpr std::tuple FieldsOf<UpstreamLeaving>{Field{"upstream", &UpstreamLeaving::upstream}};
template<>
inline constexpr std::string_view NameOf<UpstreamPaused> = "UpstreamPaused";
template<>
inline constexpr std::tuple FieldsOf<UpstreamPaused>{Field{"upstream", &UpstreamPaused::upstream},
                                                     Field{"pause", &UpstreamPaused::pause}};
template<>
inline constexpr std::string_view NameOf<WithdrawUnsentAttempts> = "WithdrawUnsentAttempts";
template<>
inline constexpr std::tuple FieldsOf<WithdrawUnsentAttempts>{Field{"request", &WithdrawUnsentAttempts::request}};
template<>
inline constexpr std::string_view NameOf<StopAccepting> = "StopAccepting";
template<>
inline constexpr std::string_view NameOf<Terminate> = "Terminate";
template<>
inline constexpr std::tuple FieldsOf<Terminate>{Field{"clean", &Terminate::clean}};

} // namespace Verbenadock::Core::Internal

#endif
