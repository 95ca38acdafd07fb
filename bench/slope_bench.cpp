// Scaling bench: measures the cost of each decision at the target fleet's size and checks the stated bounds.
// Prints one line per bound.
#include "base/hash_func.hpp"
#include "configuration/configuration_codec.hpp"
#include "configuration/configuration_func.hpp"
#include "configuration/directory_codec.hpp"
#include "configuration/directory_func.hpp"
#include "entry/shared_tables.hpp"
#include "ledger/ledger_codec.hpp"
#include "ledger/ledger_func.hpp"
#include "limit/bucket_func.hpp"
#include "placing/placing_func.hpp"
#include "placing/prefix_func.hpp"
#include "routing/routing_func.hpp"
#include "scheduling/queue_func.hpp"
#include "wire.pb.h"

#include <benchmark/benchmark.h>

#include <cstdio>
#include <map>
#include <memory>

namespace guavawick::bench {
namespace {

// Size of the target fleet.
constexpr int organisation_count = 7000;
constexpr int key_count = 20000;
constexpr int upstream_count = 3500;
constexpr int waiting_call_count = 10000;
constexpr int programs_per_shard = 70833; // 1.7 million programs over 24 shards
constexpr int candidate_subset_size = 32;

std::string numbered_name(const char* prefix, int number)
{
    return prefix + std::to_string(number);
}

ledger::open_request make_open_request(int program, std::uint64_t attempt)
{
    ledger::open_request request;
    request.key = {organisation_name{numbered_name("organisation-", program % organisation_count)},
                   program_name{numbered_name("program-", program)}};
    request.request_id = request_name{to_hex(attempt)};
    request.assignment = {attempt_id{attempt}, upstream_name{"upstream-17"}, incarnation_id{3},
                          "tcp://10.0.0.17:7500", incarnation_id{9}};
    request.body = body_hash{attempt};
    request.max_tokens = 512;
    request.repeatable = true;
    return request;
}

ledger::close_request make_close_request(const ledger::open_request& open_request)
{
    ledger::close_request close_request;
    close_request.key = open_request.key;
    close_request.attempt = open_request.assignment.attempt;
    close_request.prompt_tokens = 4000;
    close_request.completion_tokens = 228;
    return close_request;
}

ledger::ledger_state& full_ledger_state()
{
    static std::unique_ptr<ledger::ledger_state> state;
    if (!state) {
        state = std::make_unique<ledger::ledger_state>();
        for (int i = 0; i < programs_per_shard; ++i) {
            const ledger::open_request request = make_open_request(i, static_cast<std::uint64_t>(i) + 1);
            ledger::open_call(*state, request);
            ledger::close_call(*state, make_close_request(request));
        }
    }
    return *state;
}

/// Serialises, decodes and applies the two ledger commands of a call, as a replica does. The entry's encoding
/// of its requests is not measured.
void open_and_close_pair(benchmark::State& benchmark_state)
{
    ledger::ledger_state& state = full_ledger_state();
    std::uint64_t attempt = 1U << 20U;
    wire::open_call_request open;
    open.set_organisation("organisation-5");
    open.set_upstream("upstream-17");
    open.set_upstream_endpoint("tcp://10.0.0.17:7500");
    open.set_most_tokens(512);
    wire::close_call_request close;
    for (auto iteration : benchmark_state) {
        const int program = static_cast<int>(attempt % programs_per_shard);
        const std::string organisation = numbered_name("organisation-", program % organisation_count);
        const std::string name = numbered_name("program-", program);
        open.set_organisation(organisation);
        open.set_program(name);
        open.set_attempt(++attempt);
        open.set_request_id(to_hex(attempt));
        close.set_organisation(organisation);
        close.set_program(name);
        close.set_attempt(attempt);
        wire::ledger_command command;
        *command.mutable_open() = open;
        wire::ledger_command decoded;
        decoded.ParseFromString(command.SerializeAsString());
        benchmark::DoNotOptimize(ledger::open_call(state, ledger::from_wire(decoded.open())));
        *command.mutable_close() = close;
        decoded.ParseFromString(command.SerializeAsString());
        benchmark::DoNotOptimize(ledger::close_call(state, ledger::from_wire(decoded.close())));
    }
}
BENCHMARK(open_and_close_pair);

void bytes_of_a_program(benchmark::State& benchmark_state)
{
    std::size_t bytes = 0;
    for (auto iteration : benchmark_state) {
        bytes = ledger::encode_state(full_ledger_state()).size();
    }
    benchmark_state.counters["bytes"] = static_cast<double>(bytes) / programs_per_shard;
}
BENCHMARK(bytes_of_a_program)->Iterations(1);

std::unique_ptr<entry::shared_tables> make_tables(int count)
{
    auto tables = std::make_unique<entry::shared_tables>(data_centre_name{"dc0"}, std::chrono::seconds(4),
                                                         candidate_subset_size, 7);
    wire::poll_reply reply;
    reply.set_revision(1);
    reply.set_whole(true);
    reply.set_whole_directory(true);
    reply.set_version(1);
    for (int i = 0; i < count; ++i) {
        wire::upstream_record* upstream = reply.add_upstreams();
        upstream->set_name(numbered_name("upstream-", i));
        upstream->set_incarnation(static_cast<std::uint64_t>(i) + 1);
        upstream->set_endpoint("tcp://10.0.0.17:7500");
        upstream->set_data_centre(numbered_name("dc", i % 7));
        upstream->set_kind(1);
        upstream->set_serves(numbered_name("model-", i % 4));
    }
    tables->apply_poll_reply(reply, runtime_clock::now());
    return tables;
}

void route_one_call(benchmark::State& benchmark_state)
{
    const auto tables = make_tables(upstream_count);
    routing::routing_request request;
    request.affinity_hash = 99;
    for (auto iteration : benchmark_state) {
        ++request.call_number;
        const auto candidates =
            tables->candidates(configuration::service_kind::model, "model-1", "organisation-1/program-1");
        benchmark::DoNotOptimize(routing::choose_upstream(candidates, request));
    }
}
BENCHMARK(route_one_call);

void take_one_directory_change(benchmark::State& benchmark_state)
{
    const auto tables = make_tables(upstream_count);
    wire::poll_reply change;
    change.set_revision(1);
    change.set_version(2);
    wire::upstream_record* upstream = change.add_upstreams();
    upstream->set_name("upstream-5");
    upstream->set_endpoint("tcp://10.0.0.17:7500");
    upstream->set_data_centre("dc5");
    upstream->set_kind(1);
    upstream->set_serves("model-1");
    std::uint64_t incarnation = 100000;
    for (auto iteration : benchmark_state) {
        upstream->set_incarnation(++incarnation);
        tables->apply_poll_reply(change, runtime_clock::now());
    }
    benchmark_state.counters["bytes"] = static_cast<double>(change.ByteSizeLong());
}
BENCHMARK(take_one_directory_change);

/// Places one prompt as a gateway with features.load_aware does; finding the candidates is not measured.
void place_one_prompt(benchmark::State& benchmark_state)
{
    constexpr int engine_count = 41;
    constexpr int prompt_parts = 14; // of a middle turn
    constexpr int shared_prefixes = 16;
    const placing::prefix_settings settings;
    std::vector<directory::instance_record> records(engine_count);
    std::vector<placing::instance_load> loads(engine_count);
    std::vector<placing::candidate> candidates;
    for (int i = 0; i < engine_count; ++i) {
        directory::instance_record& record = records[static_cast<std::size_t>(i)];
        record.id = directory::instance_id{numbered_name("engine-", i)};
        record.data_centre = data_centre_name{numbered_name("data-centre-", i % 3)};
        record.slots = 48;
        candidates.push_back({&record, &loads[static_cast<std::size_t>(i)]});
    }
    placing::prefix_memory memory;
    time_point now{std::chrono::hours(1)};
    int call = 0;
    for (auto iteration : benchmark_state) {
        ++call;
        now += std::chrono::milliseconds(33);
        placing::placement_request request;
        request.model = true;
        request.affinity_key = numbered_name("program-", call);
        request.warm_instance = call % 7 == 0 ? "" : records[static_cast<std::size_t>(call % 41)].id.value;
        request.own_data_centre = data_centre_name{"data-centre-1"};
        std::vector<placing::prompt_prefix> prompt;
        placing::append_prefix(prompt, 1, numbered_name("shared-prefix-", call % shared_prefixes), 2560);
        for (int i = 1; i < prompt_parts; ++i) {
            placing::append_prefix(prompt, 1, request.affinity_key + numbered_name("-part-", i), 514);
        }
        request.prompt_tokens = prompt.back().tokens;
        placing::count_prefix(memory, 1, prompt.front().key, settings, now);
        const double share = placing::prefix_share(memory, 1, prompt.front().key, settings, now);
        const std::vector<bool> prefix_set =
            placing::select_prefix_set(candidates, prompt.front().key, share, settings);
        request.cached_tokens = placing::estimate_cached_tokens(memory, candidates, prompt, prefix_set,
                                                                request, settings.default_retention, now);
        const int chosen = placing::choose_instance(candidates, request, placing::placement_costs{}, now);
        placing::record_holder(memory, prompt, hash_bytes(records[static_cast<std::size_t>(chosen)].id.value),
                               settings.default_retention, settings, now);
    }
}
BENCHMARK(place_one_prompt);

void queue_push_and_pop(benchmark::State& benchmark_state)
{
    scheduling::call_queue queue;
    std::uint64_t attempt = 0;
    const auto push_call = [&] {
        scheduling::queued_call call;
        call.attempt = attempt_id{++attempt};
        call.organisation = organisation_name{numbered_name(
            "organisation-",
            static_cast<int>(hash_bytes({reinterpret_cast<const char*>(&attempt), sizeof attempt}) %
                             organisation_count))};
        call.cost_tokens = 100 + static_cast<double>(attempt % 50);
        call.attained_tokens = attempt % 9000;
        call.arrived_at = time_point{std::chrono::milliseconds(attempt)};
        scheduling::push(queue, call);
    };
    for (int i = 0; i < waiting_call_count; ++i) {
        push_call();
    }
    for (auto iteration : benchmark_state) {
        push_call();
        benchmark::DoNotOptimize(scheduling::pop(queue));
    }
}
BENCHMARK(queue_push_and_pop);

void grant_rate_tokens(benchmark::State& benchmark_state)
{
    std::vector<limit::bucket> buckets;
    time_point now{std::chrono::hours(1)};
    for (int i = 0; i < organisation_count; ++i) {
        buckets.push_back(limit::make_bucket({8, 40}, now));
        for (std::uint64_t entry = 1; entry <= 8; ++entry) {
            limit::lend_tokens(buckets.back(), {incarnation_id{entry}, 1, 0, 0, 0, 1}, now);
        }
    }
    std::uint64_t sequence = 1;
    std::size_t index = 0;
    for (auto iteration : benchmark_state) {
        index = (index + 1) % buckets.size();
        sequence += index == 0 ? 1 : 0;
        now += std::chrono::microseconds(10);
        benchmark::DoNotOptimize(limit::lend_tokens(
            buckets[index], {incarnation_id{1 + sequence % 8}, sequence + 1, sequence, 0, 0, 1}, now));
    }
}
BENCHMARK(grant_rate_tokens);

configuration::object_set make_full_object_set()
{
    using configuration::object_kind;
    configuration::object_set objects;
    for (int i = 0; i < organisation_count; ++i) {
        objects[{object_kind::organisation, numbered_name("organisation-", i)}] = {{"rate", "8"},
                                                                                   {"burst", "40"}};
    }
    for (int i = 0; i < key_count; ++i) {
        objects[{object_kind::key, numbered_name("key-", i)}] = {
            {"organisation", numbered_name("organisation-", i % organisation_count)},
            {"sha256", sha256_hex(std::to_string(i))}};
    }
    return objects;
}

void check_a_whole_set(benchmark::State& benchmark_state)
{
    const configuration::object_set objects = make_full_object_set();
    for (auto iteration : benchmark_state) {
        benchmark::DoNotOptimize(configuration::check_set(objects));
    }
}
BENCHMARK(check_a_whole_set)->Iterations(5);

void publish_one_key(benchmark::State& benchmark_state)
{
    configuration::configuration_state state;
    configuration::object_set objects = make_full_object_set();
    configuration::publish(state, {0, "first", "ops", objects, 0});
    std::size_t bytes = 0;
    for (auto iteration : benchmark_state) {
        const std::string hash = sha256_hex("fresh " + std::to_string(state.revision));
        objects[{configuration::object_kind::key, "key-7"}]["sha256"] = hash;
        configuration::publish(state, {state.revision, hash, "ops", objects, 0});
        wire::poll_reply reply;
        configuration::to_wire(*configuration::changes_since(state, state.revision - 1),
                               reply.mutable_objects());
        bytes = reply.ByteSizeLong();
    }
    benchmark_state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(publish_one_key)->Iterations(5);

void make_a_whole_view(benchmark::State& benchmark_state)
{
    const configuration::object_set objects = make_full_object_set();
    for (auto iteration : benchmark_state) {
        benchmark::DoNotOptimize(configuration::make_view(1, objects));
    }
}
BENCHMARK(make_a_whole_view)->Iterations(5);

void find_a_caller_by_key(benchmark::State& benchmark_state)
{
    const configuration::view_ptr view = configuration::make_view(1, make_full_object_set());
    for (auto iteration : benchmark_state) {
        benchmark::DoNotOptimize(configuration::find_organisation_by_key(*view, "12345"));
    }
}
BENCHMARK(find_a_caller_by_key);

void announce_again(benchmark::State& benchmark_state)
{
    configuration::directory_state state;
    std::vector<std::string> encoded;
    for (int i = 0; i < upstream_count; ++i) {
        configuration::upstream_record record;
        record.name = upstream_name{numbered_name("upstream-", i)};
        record.incarnation = incarnation_id{static_cast<std::uint64_t>(i) + 1};
        record.endpoint = "tcp://10.0.0.17:7500";
        record.data_centre = data_centre_name{"dc1"};
        record.serves = "model-1";
        configuration::announce(state, record);
        wire::envelope message;
        configuration::to_wire(record, message.mutable_announce()->mutable_upstream());
        encoded.push_back(message.SerializeAsString());
    }
    std::size_t index = 0;
    for (auto iteration : benchmark_state) {
        index = (index + 1) % encoded.size();
        wire::envelope message;
        message.ParseFromString(encoded[index]);
        const auto record = configuration::from_wire(message.announce().upstream());
        benchmark::DoNotOptimize(state.upstreams.at(record.name).equals_ignoring_version(record));
    }
    benchmark_state.counters["bytes"] = static_cast<double>(encoded.front().size());
}
BENCHMARK(announce_again);

// Sizes of the most frequent messages between processes.
void bytes_of_a_ping(benchmark::State& benchmark_state)
{
    wire::envelope message;
    message.set_sender(~0ULL);
    message.mutable_heartbeat();
    for (auto iteration : benchmark_state) {
        benchmark::DoNotOptimize(message.SerializeAsString());
    }
    benchmark_state.counters["bytes"] = static_cast<double>(message.ByteSizeLong());
}
BENCHMARK(bytes_of_a_ping);

/// A gateway's report that one upstream leaves, and the directory update by which a replica passes on the
/// marks of one interval. Ids have the length of those that the users' instances have.
void bytes_of_a_leaving_report(benchmark::State& benchmark_state)
{
    wire::envelope message;
    message.set_sender(~0ULL);
    for (int i = 0; i < benchmark_state.range(0); ++i) {
        wire::leaving_record* record = message.mutable_directory()->add_leaving();
        record->set_id(numbered_name("instance-", 100000 + i));
        record->set_started_ms(1'796'540'907'551ULL);
    }
    for (auto iteration : benchmark_state) {
        benchmark::DoNotOptimize(message.SerializeAsString());
    }
    benchmark_state.counters["bytes"] = static_cast<double>(message.ByteSizeLong());
}
BENCHMARK(bytes_of_a_leaving_report)->Arg(1)->Arg(209);

void bytes_of_a_load_answer(benchmark::State& benchmark_state)
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
    for (auto iteration : benchmark_state) {
        benchmark::DoNotOptimize(message.SerializeAsString());
    }
    benchmark_state.counters["bytes"] = static_cast<double>(message.ByteSizeLong());
}
BENCHMARK(bytes_of_a_load_answer);

void bytes_of_an_open_with_its_choices(benchmark::State& benchmark_state)
{
    wire::envelope message;
    wire::open_call_request* open = message.mutable_open();
    open->set_organisation("organisation-1234");
    open->set_program("program-123456");
    open->set_request_id(to_hex(7));
    for (int i = 0; i < candidate_subset_size; ++i) {
        wire::upstream_choice* choice = open->add_choices();
        choice->set_upstream(numbered_name("upstream-", i));
        choice->set_incarnation(~0ULL);
        choice->set_endpoint("tcp://10.0.0.17:7500");
        choice->set_seconds(1.5);
        choice->set_prefill_tokens_per_second(4000.5);
    }
    for (auto iteration : benchmark_state) {
        benchmark::DoNotOptimize(message.SerializeAsString());
    }
    benchmark_state.counters["bytes"] = static_cast<double>(message.ByteSizeLong());
}
BENCHMARK(bytes_of_an_open_with_its_choices);

/// Prints the results of the benchmarks and keeps them for the check of the bounds.
class result_collector : public benchmark::ConsoleReporter {
public:
    void ReportRuns(const std::vector<Run>& runs) override
    {
        for (const Run& run : runs) {
            std::string name = run.benchmark_name();
            name = name.substr(0, name.find('/'));
            seconds[name] = run.real_accumulated_time / static_cast<double>(run.iterations);
            const auto bytes = run.counters.find("bytes");
            if (bytes != run.counters.end()) {
                sizes[name] = bytes->second.value;
            }
        }
        ConsoleReporter::ReportRuns(runs);
    }

    std::map<std::string, double> seconds;
    std::map<std::string, double> sizes;
};

int failed_bounds = 0;

void check_upper_bound(const char* name, double value, double bound, const char* unit)
{
    const bool passed = value <= bound;
    std::printf("%-58s figure %10.3f %s  bound %10.3f  %s\n", name, value, unit, bound,
                passed ? "held" : "NOT HELD");
    failed_bounds += passed ? 0 : 1;
}

int run(int argc, char** argv)
{
    constexpr double pairs_per_second = 2400;
    constexpr double max_cores = 0.5;
    constexpr double microseconds_per_second = 1e6;
    benchmark::Initialize(&argc, argv);
    result_collector reporter;
    benchmark::RunSpecifiedBenchmarks(&reporter);
    check_upper_bound("open_call and close_call: cores for 2,400 pairs a second",
                      reporter.seconds["open_and_close_pair"] * pairs_per_second, max_cores, "cores");
    check_upper_bound("state of a program beside its history", reporter.sizes["bytes_of_a_program"], 1024,
                      "bytes");
    check_upper_bound("routing with 3,500 upstreams known",
                      reporter.seconds["route_one_call"] * microseconds_per_second, 20, "us");
    check_upper_bound("placement of a prompt among 41 engines",
                      reporter.seconds["place_one_prompt"] * microseconds_per_second, 50, "us");
    check_upper_bound("queue push and pop, 7,000 organisations, 10,000 waiting",
                      reporter.seconds["queue_push_and_pop"] * microseconds_per_second / 2, 5, "us");
    check_upper_bound("configuration of 7,000 organisations, 20,000 keys checked",
                      reporter.seconds["check_a_whole_set"], 1, "s");
    check_upper_bound("difference of one key", reporter.sizes["publish_one_key"], 1024, "bytes");
    std::printf("%d bounds not held\n", failed_bounds);
    return failed_bounds == 0 ? 0 : 1;
}

} // namespace
} // namespace guavawick::bench

int main(int argc, char** argv)
{
    return guavawick::bench::run(argc, argv);
}
