// Slopes at the target's size: the cost of each decision, with the stated bounds. One line a bound.
#include "base/hash_func.hpp"
#include "configuration/configuration_codec.hpp"
#include "configuration/configuration_func.hpp"
#include "configuration/directory_codec.hpp"
#include "configuration/directory_func.hpp"
#include "entry/shared_tables.hpp"
#include "ledger/ledger_codec.hpp"
#include "ledger/ledger_func.hpp"
#include "limit/bucket_func.hpp"
#include "routing/routing_func.hpp"
#include "scheduling/queue_func.hpp"
#include "wire.pb.h"

#include <benchmark/benchmark.h>

#include <cstdio>
#include <map>
#include <memory>

namespace guavawick::bench {
namespace {

// The target's size.
constexpr int organisations = 7000;
constexpr int keys = 20000;
constexpr int upstreams = 3500;
constexpr int waiting_calls = 10000;
constexpr int programs_per_shard = 70833; // 1.7 million over 24 shards
constexpr int subset = 32;

std::string name_of(const char* prefix, int number)
{
    return prefix + std::to_string(number);
}

ledger::open_request make_open(int program, std::uint64_t attempt)
{
    ledger::open_request wish;
    wish.key = {organisation_name{name_of("organisation-", program % organisations)},
                program_name{name_of("program-", program)}};
    wish.request_id = request_name{to_hex(attempt)};
    wish.assignment = {attempt_id{attempt}, upstream_name{"upstream-17"}, incarnation_id{3},
                       "tcp://10.0.0.17:7500", incarnation_id{9}};
    wish.body = body_hash{attempt};
    wish.max_tokens = 512;
    wish.repeatable = true;
    return wish;
}

ledger::close_request make_close(const ledger::open_request& wish)
{
    ledger::close_request report;
    report.key = wish.key;
    report.attempt = wish.assignment.attempt;
    report.prompt_tokens = 4000;
    report.completion_tokens = 228;
    return report;
}

ledger::ledger_state& full_shard()
{
    static std::unique_ptr<ledger::ledger_state> state;
    if (!state) {
        state = std::make_unique<ledger::ledger_state>();
        for (int i = 0; i < programs_per_shard; ++i) {
            const ledger::open_request wish = make_open(i, static_cast<std::uint64_t>(i) + 1);
            ledger::open_call(*state, wish);
            ledger::close_call(*state, make_close(wish));
        }
    }
    return *state;
}

/// One call's two commands as a shard runs them: decode, decide, and the entry's encoding left out.
void open_and_close_pair(benchmark::State& run)
{
    ledger::ledger_state& state = full_shard();
    std::uint64_t attempt = 1U << 20U;
    wire::open_call_request open;
    open.set_organisation("organisation-5");
    open.set_upstream("upstream-17");
    open.set_upstream_endpoint("tcp://10.0.0.17:7500");
    open.set_most_tokens(512);
    wire::close_call_request close;
    for (auto step : run) {
        const int program = static_cast<int>(attempt % programs_per_shard);
        const std::string organisation = name_of("organisation-", program % organisations);
        const std::string name = name_of("program-", program);
        open.set_organisation(organisation);
        open.set_program(name);
        open.set_attempt(++attempt);
        open.set_request_id(to_hex(attempt));
        close.set_organisation(organisation);
        close.set_program(name);
        close.set_attempt(attempt);
        wire::ledger_command command;
        *command.mutable_open() = open;
        wire::ledger_command read;
        read.ParseFromString(command.SerializeAsString());
        benchmark::DoNotOptimize(ledger::open_call(state, ledger::from_wire(read.open())));
        *command.mutable_close() = close;
        read.ParseFromString(command.SerializeAsString());
        benchmark::DoNotOptimize(ledger::close_call(state, ledger::from_wire(read.close())));
    }
}
BENCHMARK(open_and_close_pair);

void bytes_of_a_program(benchmark::State& run)
{
    std::size_t bytes = 0;
    for (auto step : run) {
        bytes = ledger::encode_state(full_shard()).size();
    }
    run.counters["bytes"] = static_cast<double>(bytes) / programs_per_shard;
}
BENCHMARK(bytes_of_a_program)->Iterations(1);

std::unique_ptr<entry::shared_tables> make_tables(int count)
{
    auto tables =
        std::make_unique<entry::shared_tables>(data_centre_name{"dc0"}, std::chrono::seconds(4), subset, 7);
    wire::poll_reply reply;
    reply.set_revision(1);
    reply.set_whole(true);
    reply.set_whole_directory(true);
    reply.set_version(1);
    for (int i = 0; i < count; ++i) {
        wire::upstream_record* one = reply.add_upstreams();
        one->set_name(name_of("upstream-", i));
        one->set_incarnation(static_cast<std::uint64_t>(i) + 1);
        one->set_endpoint("tcp://10.0.0.17:7500");
        one->set_data_centre(name_of("dc", i % 7));
        one->set_kind(1);
        one->set_serves(name_of("model-", i % 4));
    }
    tables->apply_poll_reply(reply, runtime_clock::now());
    return tables;
}

void route_one_call(benchmark::State& run)
{
    const auto tables = make_tables(upstreams);
    routing::routing_request wish;
    wish.affinity_hash = 99;
    for (auto step : run) {
        ++wish.call_number;
        const auto found =
            tables->candidates(configuration::service_kind::model, "model-1", "organisation-1/program-1");
        benchmark::DoNotOptimize(routing::choose_upstream(found, wish));
    }
}
BENCHMARK(route_one_call);

void take_one_directory_change(benchmark::State& run)
{
    const auto tables = make_tables(upstreams);
    wire::poll_reply change;
    change.set_revision(1);
    change.set_version(2);
    wire::upstream_record* one = change.add_upstreams();
    one->set_name("upstream-5");
    one->set_endpoint("tcp://10.0.0.17:7500");
    one->set_data_centre("dc5");
    one->set_kind(1);
    one->set_serves("model-1");
    std::uint64_t incarnation = 100000;
    for (auto step : run) {
        one->set_incarnation(++incarnation);
        tables->apply_poll_reply(change, runtime_clock::now());
    }
    run.counters["bytes"] = static_cast<double>(change.ByteSizeLong());
}
BENCHMARK(take_one_directory_change);

void queue_push_and_pop(benchmark::State& run)
{
    scheduling::call_queue queue;
    std::uint64_t attempt = 0;
    const auto push_one = [&] {
        scheduling::queued_call call;
        call.attempt = attempt_id{++attempt};
        call.organisation = organisation_name{
            name_of("organisation-",
                    static_cast<int>(hash_bytes({reinterpret_cast<const char*>(&attempt), sizeof attempt}) %
                                     organisations))};
        call.cost_tokens = 100 + static_cast<double>(attempt % 50);
        call.attained_tokens = attempt % 9000;
        call.arrived_at = time_point{std::chrono::milliseconds(attempt)};
        scheduling::push(queue, call);
    };
    for (int i = 0; i < waiting_calls; ++i) {
        push_one();
    }
    for (auto step : run) {
        push_one();
        benchmark::DoNotOptimize(scheduling::pop(queue));
    }
}
BENCHMARK(queue_push_and_pop);

void grant_rate_tokens(benchmark::State& run)
{
    std::vector<limit::bucket> owned;
    time_point now{std::chrono::hours(1)};
    for (int i = 0; i < organisations; ++i) {
        owned.push_back(limit::make_bucket({8, 40}, now));
        for (std::uint64_t entry = 1; entry <= 8; ++entry) {
            limit::lend_tokens(owned.back(), {incarnation_id{entry}, 1, 0, 0, 0, 1}, now);
        }
    }
    std::uint64_t sequence = 1;
    std::size_t place = 0;
    for (auto step : run) {
        place = (place + 1) % owned.size();
        sequence += place == 0 ? 1 : 0;
        now += std::chrono::microseconds(10);
        benchmark::DoNotOptimize(limit::lend_tokens(
            owned[place], {incarnation_id{1 + sequence % 8}, sequence + 1, sequence, 0, 0, 1}, now));
    }
}
BENCHMARK(grant_rate_tokens);

configuration::object_set full_set()
{
    using configuration::object_kind;
    configuration::object_set objects;
    for (int i = 0; i < organisations; ++i) {
        objects[{object_kind::organisation, name_of("organisation-", i)}] = {{"rate", "8"}, {"burst", "40"}};
    }
    for (int i = 0; i < keys; ++i) {
        objects[{object_kind::key, name_of("key-", i)}] = {
            {"organisation", name_of("organisation-", i % organisations)},
            {"sha256", sha256_hex(std::to_string(i))}};
    }
    return objects;
}

void check_a_whole_set(benchmark::State& run)
{
    const configuration::object_set objects = full_set();
    for (auto step : run) {
        benchmark::DoNotOptimize(configuration::check_set(objects));
    }
}
BENCHMARK(check_a_whole_set)->Iterations(5);

void publish_one_key(benchmark::State& run)
{
    configuration::configuration_state state;
    configuration::object_set objects = full_set();
    configuration::publish(state, {0, "first", "ops", objects, 0});
    std::size_t bytes = 0;
    for (auto step : run) {
        const std::string hash = sha256_hex("fresh " + std::to_string(state.revision));
        objects[{configuration::object_kind::key, "key-7"}]["sha256"] = hash;
        configuration::publish(state, {state.revision, hash, "ops", objects, 0});
        wire::poll_reply reply;
        configuration::to_wire(*configuration::changes_since(state, state.revision - 1),
                               reply.mutable_objects());
        bytes = reply.ByteSizeLong();
    }
    run.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(publish_one_key)->Iterations(5);

void make_a_whole_view(benchmark::State& run)
{
    const configuration::object_set objects = full_set();
    for (auto step : run) {
        benchmark::DoNotOptimize(configuration::make_view(1, objects));
    }
}
BENCHMARK(make_a_whole_view)->Iterations(5);

void find_a_caller_by_key(benchmark::State& run)
{
    const configuration::view_ptr view = configuration::make_view(1, full_set());
    for (auto step : run) {
        benchmark::DoNotOptimize(configuration::find_organisation_by_key(*view, "12345"));
    }
}
BENCHMARK(find_a_caller_by_key);

void announce_again(benchmark::State& run)
{
    configuration::directory_state state;
    std::vector<std::string> encoded;
    for (int i = 0; i < upstreams; ++i) {
        configuration::upstream_record record;
        record.name = upstream_name{name_of("upstream-", i)};
        record.incarnation = incarnation_id{static_cast<std::uint64_t>(i) + 1};
        record.endpoint = "tcp://10.0.0.17:7500";
        record.data_centre = data_centre_name{"dc1"};
        record.serves = "model-1";
        configuration::announce(state, record);
        wire::envelope message;
        configuration::to_wire(record, message.mutable_announce()->mutable_upstream());
        encoded.push_back(message.SerializeAsString());
    }
    std::size_t place = 0;
    for (auto step : run) {
        place = (place + 1) % encoded.size();
        wire::envelope message;
        message.ParseFromString(encoded[place]);
        const auto record = configuration::from_wire(message.announce().upstream());
        benchmark::DoNotOptimize(state.upstreams.at(record.name).equals_ignoring_version(record));
    }
    run.counters["bytes"] = static_cast<double>(encoded.front().size());
}
BENCHMARK(announce_again);

/// Sizes of the messages that processes exchange all the time.
void bytes_of_a_ping(benchmark::State& run)
{
    wire::envelope message;
    message.set_sender(~0ULL);
    message.mutable_heartbeat();
    for (auto step : run) {
        benchmark::DoNotOptimize(message.SerializeAsString());
    }
    run.counters["bytes"] = static_cast<double>(message.ByteSizeLong());
}
BENCHMARK(bytes_of_a_ping);

void bytes_of_a_load_answer(benchmark::State& run)
{
    wire::envelope message;
    message.set_sender(~0ULL);
    message.set_call(1U << 20U);
    wire::load_report* load = message.mutable_load();
    load->set_running(16);
    load->set_queued(9);
    load->set_window(16);
    load->set_queued_tokens(900.5);
    load->set_seconds_per_token(0.02);
    load->set_prefill_tokens_per_second(4000.5);
    load->set_mean_call_seconds(4.5);
    for (auto step : run) {
        benchmark::DoNotOptimize(message.SerializeAsString());
    }
    run.counters["bytes"] = static_cast<double>(message.ByteSizeLong());
}
BENCHMARK(bytes_of_a_load_answer);

void bytes_of_an_open_with_its_choices(benchmark::State& run)
{
    wire::envelope message;
    wire::open_call_request* open = message.mutable_open();
    open->set_organisation("organisation-1234");
    open->set_program("program-123456");
    open->set_request_id(to_hex(7));
    for (int i = 0; i < subset; ++i) {
        wire::upstream_choice* one = open->add_choices();
        one->set_upstream(name_of("upstream-", i));
        one->set_incarnation(~0ULL);
        one->set_endpoint("tcp://10.0.0.17:7500");
        one->set_seconds(1.5);
        one->set_prefill_tokens_per_second(4000.5);
    }
    for (auto step : run) {
        benchmark::DoNotOptimize(message.SerializeAsString());
    }
    run.counters["bytes"] = static_cast<double>(message.ByteSizeLong());
}
BENCHMARK(bytes_of_an_open_with_its_choices);

/// Keeps every figure for the lines at the end.
class collector : public benchmark::ConsoleReporter {
public:
    void ReportRuns(const std::vector<Run>& runs) override
    {
        for (const Run& one : runs) {
            std::string name = one.benchmark_name();
            name = name.substr(0, name.find('/'));
            seconds[name] = one.real_accumulated_time / static_cast<double>(one.iterations);
            const auto bytes = one.counters.find("bytes");
            if (bytes != one.counters.end()) {
                sizes[name] = bytes->second.value;
            }
        }
        ConsoleReporter::ReportRuns(runs);
    }

    std::map<std::string, double> seconds;
    std::map<std::string, double> sizes;
};

int failures = 0;

void at_most(const char* name, double figure, double bound, const char* unit)
{
    const bool held = figure <= bound;
    std::printf("%-58s figure %10.3f %s  bound %10.3f  %s\n", name, figure, unit, bound,
                held ? "held" : "NOT HELD");
    failures += held ? 0 : 1;
}

int run(int argc, char** argv)
{
    constexpr double pairs_per_second = 2400;
    constexpr double half_core = 0.5;
    constexpr double us = 1e6;
    benchmark::Initialize(&argc, argv);
    collector reporter;
    benchmark::RunSpecifiedBenchmarks(&reporter);
    at_most("open_call and close_call: cores for 2,400 pairs a second",
            reporter.seconds["open_and_close_pair"] * pairs_per_second, half_core, "cores");
    at_most("state of a program beside its history", reporter.sizes["bytes_of_a_program"], 1024, "bytes");
    at_most("routing with 3,500 upstreams known", reporter.seconds["route_one_call"] * us, 20, "us");
    at_most("queue push and pop, 7,000 organisations, 10,000 waiting",
            reporter.seconds["queue_push_and_pop"] * us / 2, 5, "us");
    at_most("configuration of 7,000 organisations, 20,000 keys checked",
            reporter.seconds["check_a_whole_set"], 1, "s");
    at_most("difference of one key", reporter.sizes["publish_one_key"], 1024, "bytes");
    std::printf("%d bounds not held\n", failures);
    return failures == 0 ? 0 : 1;
}

} // namespace
} // namespace guavawick::bench

int main(int argc, char** argv)
{
    return guavawick::bench::run(argc, argv);
}
