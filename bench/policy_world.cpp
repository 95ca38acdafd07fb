// Discrete-event simulation of the policy bench: programs arrive, get rate tokens at the entries and run
// their calls on simulated engines. The network is modelled as a constant delay between data centres.
#include "policy_world.hpp"

#include "base/hash_func.hpp"

#include <algorithm>
#include <cmath>
#include <memory>

namespace guavawick::bench {
namespace {

constexpr std::uint32_t engine_slots = 16;
constexpr double seconds_per_token = 0.02;
constexpr double prefill_rate = 4000;                 ///< tokens per second
constexpr std::uint64_t engine_cache_tokens = 400000; ///< capacity of one engine's prefix cache
constexpr int entry_count = 3;
/// The weight of an organisation in the queue is its rate to this power, as at the entries.
constexpr double weight_exponent = 0.5;
constexpr double load_report_interval = 0.5; ///< seconds between load reports; they lag by up to this
constexpr double rate_margin = 1.5;          ///< an organisation's rate over its mean demand in requests
constexpr double burst_seconds = 6;          ///< an organisation's burst over its rate
/// Seconds that a request may wait for a rate token.
constexpr double promised_token_timeout = 10;
/// The same at an entry, with an allowance for requests that different entries serve out of order.
constexpr double token_timeout = 12;
constexpr double queue_timeout = 60;              ///< seconds that a call may wait for its start
constexpr double mean_first_prompt_tokens = 3000; ///< documents at the start of a program
constexpr double mean_added_tokens = 800;         ///< tool output and user messages of a turn
constexpr double mean_completion_tokens = 120;
constexpr double mean_turns_per_program = 12; ///< including the turns of its sub-agents
constexpr double engine_cold_seconds = 4.0;
constexpr std::uint32_t engine_cold_answers = 3;

/// An agent program or one of its sub-agents.
struct simulated_program {
    int organisation = 0;
    int turn_count = 1;
    int turn_index = 0;
    std::string name;
    std::uint64_t history_tokens = 0;    ///< prompt and answer tokens of the finished turns
    std::uint64_t completion_tokens = 0; ///< tokens to generate in the current turn
    std::uint64_t added_tokens = 0;      ///< new prompt tokens of the current turn
    double started_at = 0;
    double ideal_seconds = 0;                  ///< latency without other load and with a warm cache
    std::uint64_t attained_tokens = 0;         ///< tokens processed so far, as the queue counts them
    bool measured = false;                     ///< whether its latency counts
    std::uint64_t max_cached_tokens = 0;       ///< longest prefix that some engine has cached
    double requested_at = 0;                   ///< when the current turn asked for a rate token
    int last_engine = -1;                      ///< index of the engine of its last attempt; -1: none
    std::shared_ptr<simulated_program> parent; ///< of a sub-agent: the program that waits for it
    int running_children = 0;                  ///< sub-agents that the program waits for
    std::uint64_t random_state = 1;            ///< its own generator: all policies get the same programs
};

using program_ptr = std::shared_ptr<simulated_program>;

/// An engine with the queue, window and load report of its sidecar.
struct simulated_engine {
    fakes::engine_model model;
    scheduling::call_queue queue;
    scheduling::window_state window;
    std::map<attempt_id, program_ptr> waiting_programs;
    std::map<attempt_id, double> expected_costs;
    std::map<attempt_id, program_ptr> running_programs;
    int data_centre = 0;
    bool alive = true;
    std::uint64_t generation = 0; ///< number of failures; events of an earlier generation are ignored
    routing::load_report report;
    double mean_call_seconds = 2.0; ///< moving average of the time from start to end of a call
    double restarted_at = -1;       ///< time of its restart; -1: none, or its ramp-up is measured already
    double warm_at = -1;            ///< time of its first call at normal speed after the restart; -1: not yet
};

/// An entry with its token leases, by organisation, and its counts, by engine.
struct simulated_entry {
    int data_centre = 0;
    std::vector<limit::token_lease> token_leases;
    std::vector<std::uint64_t> request_sequences;
    std::vector<std::uint32_t> sent_since_report;
    std::vector<std::deque<program_ptr>> waiting_programs; ///< for a rate token, by organisation
};

/// Clock, event queue and state of a run.
struct simulation {
    const workload_options& workload;
    const policy_options& policy;
    std::uint64_t random_state;
    double now = 0;
    using event = std::pair<double, std::function<void()>>;
    struct later_event_first {
        bool operator()(const std::pair<std::pair<double, std::uint64_t>, std::function<void()>>& left,
                        const std::pair<std::pair<double, std::uint64_t>, std::function<void()>>& right) const
        {
            return left.first > right.first;
        }
    };
    std::priority_queue<std::pair<std::pair<double, std::uint64_t>, std::function<void()>>,
                        std::vector<std::pair<std::pair<double, std::uint64_t>, std::function<void()>>>,
                        later_event_first>
        event_queue;
    std::uint64_t event_sequence = 0;
    std::vector<simulated_engine> engines;
    std::vector<simulated_entry> entries;
    std::vector<limit::bucket> buckets;
    std::vector<double> organisation_rates;
    std::vector<std::uint64_t> refused_counts; ///< refusals by organisation
    /// By organisation: requests that a single token bucket would refuse.
    std::vector<std::uint64_t> reference_refused_counts;
    /// By organisation: when that bucket would be full again.
    std::vector<double> reference_full_at;
    std::uint64_t next_attempt = 1;
    std::uint64_t next_program = 1;
    std::uint64_t next_call_number = 0;
    simulation_result result;

    simulation(const workload_options& simulated_workload, const policy_options& simulated_policy)
        : workload(simulated_workload), policy(simulated_policy), random_state(simulated_workload.seed)
    {
    }

    static double uniform_random(std::uint64_t& state)
    {
        return static_cast<double>(next_random(state) >> 11U) / 9007199254740992.0;
    }
    static double exponential_random(std::uint64_t& state, double mean_value)
    {
        return -mean_value * std::log(1.0 - uniform_random(state));
    }
    double uniform() { return static_cast<double>(next_random(random_state) >> 11U) / 9007199254740992.0; }
    double exponential(double mean_value) { return -mean_value * std::log(1.0 - uniform()); }
    void schedule(double when, std::function<void()> action)
    {
        event_queue.push({{when, ++event_sequence}, std::move(action)});
    }
    [[nodiscard]] time_point current_time() const { return time_point{from_seconds(now + 3600)}; }
    [[nodiscard]] double end_time() const { return workload.warmup_seconds + workload.measured_seconds; }
};

double ideal_turn_seconds(std::uint64_t added_tokens, std::uint64_t completion_tokens)
{
    return static_cast<double>(added_tokens) / prefill_rate +
           seconds_per_token * static_cast<double>(completion_tokens + 1);
}

/// @return the mean work of a program in seconds of one engine slot. Capacity over this is the arrival rate
/// at load 1.
double mean_program_slot_seconds()
{
    // Means of the distributions in prepare_turn() and new_program().
    constexpr double turns = mean_turns_per_program;
    constexpr double completion_tokens = mean_completion_tokens;
    constexpr double added_tokens = mean_added_tokens + mean_first_prompt_tokens / mean_turns_per_program;
    const double slowdown = 1.0 + fakes::engine_options{}.batch_slowdown * (engine_slots - 1);
    return turns *
           (completion_tokens * seconds_per_token * slowdown + added_tokens / prefill_rate * slowdown);
}

void prepare_turn(simulated_program& program)
{
    const double first_prompt_tokens =
        program.turn_index == 0 && !program.parent ? mean_first_prompt_tokens : 0;
    program.completion_tokens = 20 + static_cast<std::uint64_t>(simulation::exponential_random(
                                         program.random_state, mean_completion_tokens - 20));
    program.completion_tokens = std::min<std::uint64_t>(program.completion_tokens, 900);
    program.added_tokens = 50 + static_cast<std::uint64_t>(simulation::exponential_random(
                                    program.random_state, mean_added_tokens + first_prompt_tokens - 50));
    program.added_tokens = std::min<std::uint64_t>(program.added_tokens, 20000);
    program.ideal_seconds += ideal_turn_seconds(program.added_tokens, program.completion_tokens);
}

void request_token(simulation& sim, const program_ptr& program);

program_ptr new_program(simulation& sim, int organisation, int max_turns, std::uint64_t random_state)
{
    auto program = std::make_shared<simulated_program>();
    program->organisation = organisation;
    program->random_state = random_state;
    program->turn_count =
        std::min(max_turns, 1 + static_cast<int>(simulation::exponential_random(program->random_state, 7.5)));
    program->name = "o" + std::to_string(organisation) + "/p" + std::to_string(sim.next_program++);
    program->started_at = sim.now;
    program->measured = sim.now >= sim.workload.warmup_seconds;
    return program;
}

void schedule_arrivals(simulation& sim, int organisation, double arrival_rate, std::uint64_t random_state)
{
    const double interval = simulation::exponential_random(random_state, 1.0 / arrival_rate);
    sim.schedule(sim.now + interval, [&sim, organisation, arrival_rate, random_state] {
        if (sim.now > sim.end_time()) {
            return;
        }
        schedule_arrivals(sim, organisation, arrival_rate, random_state);
        const program_ptr program = new_program(sim, organisation, 60, hash_bytes("program", random_state));
        prepare_turn(*program);
        request_token(sim, program);
    });
}

bool accepts_work(const simulation& sim, const simulated_engine& engine)
{
    const bool is_evacuated = engine.data_centre == sim.workload.evacuated_data_centre &&
                              sim.now >= sim.workload.evacuation_start &&
                              sim.now < sim.workload.evacuation_end;
    return engine.alive && !is_evacuated;
}

void finish_program(simulation& sim, const program_ptr& program)
{
    if (program->parent) {
        if (--program->parent->running_children == 0) {
            request_token(sim, program->parent);
        }
        return;
    }
    if (!program->measured) {
        return;
    }
    const double latency = sim.now - program->started_at;
    sim.result.program_latencies.push_back(latency);
    sim.result.slowdowns[static_cast<std::size_t>(program->organisation)].push_back(latency /
                                                                                    program->ideal_seconds);
}

/// Starts queued calls while the engine's window has room.
void start_waiting_calls(simulation& sim, std::size_t engine_index);

void update_load_report(simulated_engine& engine)
{
    engine.report.running = static_cast<std::uint32_t>(engine.window.running);
    engine.report.queued = static_cast<std::uint32_t>(engine.queue.calls.size());
    engine.report.window = static_cast<std::uint32_t>(scheduling::window_limit(engine.window));
    engine.report.queued_tokens = engine.queue.cost_tokens;
    engine.report.seconds_per_token = seconds_per_token * 1.5;
    engine.report.prefill_tokens_per_second = prefill_rate;
    engine.report.mean_call_seconds = engine.mean_call_seconds;
    engine.report.cold = engine.window.average_latency_seconds == 0;
}

/// Chooses an engine for the program's next call and queues it there; tries again later if no engine accepts
/// work.
void route_call(simulation& sim, std::size_t entry_index, const program_ptr& program)
{
    simulated_entry& entry = sim.entries[entry_index];
    std::vector<routing::candidate> candidates;
    std::vector<std::size_t> engine_indices;
    for (std::size_t i = 0; i < sim.engines.size(); ++i) {
        const simulated_engine& engine = sim.engines[i];
        if (!accepts_work(sim, engine)) {
            continue;
        }
        const bool has_history = program->last_engine == static_cast<int>(i);
        candidates.push_back({upstream_name{"u" + std::to_string(i)}, incarnation_id{1}, "",
                              engine.data_centre == entry.data_centre, engine.report,
                              entry.sent_since_report[i], has_history ? program->history_tokens : 0});
        engine_indices.push_back(i);
    }
    routing::routing_request request;
    request.policy = sim.policy.routing;
    request.affinity_hash = hash_bytes(program->name);
    request.prompt_tokens = program->history_tokens + program->added_tokens;
    request.call_number = sim.next_call_number++;
    const auto chosen = routing::choose_upstream(candidates, request);
    if (!chosen) {
        sim.schedule(sim.now + 0.1, [&sim, entry_index, program] { route_call(sim, entry_index, program); });
        return;
    }
    const std::size_t engine_index = engine_indices[*chosen];
    ++entry.sent_since_report[engine_index];
    const double delay = sim.engines[engine_index].data_centre == entry.data_centre
                             ? 0.0001
                             : sim.workload.data_centre_delay_seconds;
    sim.schedule(sim.now + delay, [&sim, engine_index, entry_index, program] {
        simulated_engine& engine = sim.engines[engine_index];
        if (!accepts_work(sim, engine)) {
            route_call(sim, entry_index, program);
            return;
        }
        const attempt_id attempt{sim.next_attempt++};
        const std::uint64_t cached_prompt_tokens =
            sim.policy.routing == routing::routing_policy::expected_time
                ? fakes::cached_tokens(engine.model, program->name)
                : 0;
        scheduling::queued_call call;
        call.attempt = attempt;
        call.organisation = organisation_name{"o" + std::to_string(program->organisation)};
        call.program = program_name{program->name};
        call.weight = std::pow(sim.organisation_rates[static_cast<std::size_t>(program->organisation)],
                               weight_exponent);
        call.attained_tokens = program->attained_tokens;
        call.cost_tokens = scheduling::expected_cost(program->history_tokens + program->added_tokens,
                                                     cached_prompt_tokens, 150);
        call.arrived_at = sim.current_time();
        engine.waiting_programs[attempt] = program;
        engine.expected_costs[attempt] = call.cost_tokens;
        scheduling::push(engine.queue, call);
        program->last_engine = static_cast<int>(engine_index);
        start_waiting_calls(sim, engine_index);
    });
}

void finish_turn(simulation& sim, std::size_t engine_index, attempt_id attempt, const program_ptr& program,
                 std::uint64_t prompt_tokens, std::uint64_t cached_prompt_tokens, double call_started_at)
{
    simulated_engine& engine = sim.engines[engine_index];
    engine.running_programs.erase(attempt);
    fakes::end_call(engine.model, program->name, prompt_tokens + program->completion_tokens);
    scheduling::record_end(engine.window);
    engine.mean_call_seconds = engine.mean_call_seconds * 0.9 + (sim.now - call_started_at) * 0.1;
    const double actual_cost =
        scheduling::expected_cost(prompt_tokens, cached_prompt_tokens, program->completion_tokens);
    scheduling::correct_charge(engine.queue, organisation_name{"o" + std::to_string(program->organisation)},
                               engine.expected_costs[attempt], actual_cost);
    engine.expected_costs.erase(attempt);
    program->attained_tokens += prompt_tokens - cached_prompt_tokens + program->completion_tokens;
    program->history_tokens = prompt_tokens + program->completion_tokens;
    program->max_cached_tokens = program->history_tokens;
    start_waiting_calls(sim, engine_index);
    ++program->turn_index;
    if (program->turn_index >= program->turn_count) {
        finish_program(sim, program);
        return;
    }
    prepare_turn(*program);
    const double pause = std::min(20.0, simulation::exponential_random(program->random_state, 1.5));
    program->ideal_seconds += pause;
    const bool spawns_children = !program->parent && program->turn_count > 3 &&
                                 simulation::uniform_random(program->random_state) < 0.1;
    if (spawns_children) {
        // Two sub-agents run in parallel; the program continues when both have finished.
        program->running_children = 2;
        double max_child_seconds = 0;
        for (int i = 0; i < 2; ++i) {
            const program_ptr child =
                new_program(sim, program->organisation, 4, next_random(program->random_state));
            child->parent = program;
            child->measured = false;
            prepare_turn(*child);
            max_child_seconds = std::max(max_child_seconds, child->ideal_seconds * child->turn_count);
            request_token(sim, child);
        }
        program->ideal_seconds += max_child_seconds;
        return;
    }
    sim.schedule(sim.now + pause, [&sim, program] { request_token(sim, program); });
}

void start_attempt(simulation& sim, std::size_t engine_index, attempt_id attempt)
{
    simulated_engine& engine = sim.engines[engine_index];
    const program_ptr program = engine.waiting_programs.at(attempt);
    engine.waiting_programs.erase(attempt);
    engine.running_programs[attempt] = program;
    scheduling::record_start(engine.window);
    sim.result.window_violations += engine.window.running > scheduling::window_limit(engine.window) ? 1 : 0;
    const std::uint64_t prompt_tokens = program->history_tokens + program->added_tokens;
    const std::uint64_t cached_prompt_tokens =
        std::min(prompt_tokens, fakes::cached_tokens(engine.model, program->name));
    if (sim.now >= sim.workload.warmup_seconds) {
        sim.result.prompt_tokens += prompt_tokens;
        sim.result.repeated_prefill_tokens += program->max_cached_tokens > cached_prompt_tokens
                                                  ? program->max_cached_tokens - cached_prompt_tokens
                                                  : 0;
    }
    const double call_started_at = sim.now;
    const double first_token_seconds = fakes::start_call(engine.model, program->name, prompt_tokens);
    const std::uint64_t generation = engine.generation;
    sim.schedule(sim.now + first_token_seconds, [&sim, engine_index, attempt, program, prompt_tokens,
                                                 cached_prompt_tokens, call_started_at, generation] {
        simulated_engine& current_engine = sim.engines[engine_index];
        if (current_engine.generation != generation) {
            return; // the engine failed meanwhile and its calls were routed again
        }
        scheduling::record_first_token(current_engine.window, from_seconds(sim.now - call_started_at),
                                       scheduling::prefill_allowance(prompt_tokens, prefill_rate),
                                       sim.current_time());
        if (current_engine.restarted_at >= 0 && current_engine.warm_at < 0 &&
            current_engine.model.answered_calls >= current_engine.model.options.cold_answers) {
            current_engine.warm_at = sim.now; // its cold calls are over: it runs at normal speed from here on
        }
        if (current_engine.warm_at >= 0 && scheduling::window_limit(current_engine.window) >= engine_slots) {
            sim.result.ramp_up_seconds = std::max(0.001, sim.now - current_engine.warm_at);
            current_engine.restarted_at = -1;
            current_engine.warm_at = -1;
        }
        start_waiting_calls(sim, engine_index);
        const double decode_seconds =
            fakes::token_seconds(current_engine.model) * static_cast<double>(program->completion_tokens);
        sim.schedule(sim.now + decode_seconds, [&sim, engine_index, attempt, program, prompt_tokens,
                                                cached_prompt_tokens, call_started_at, generation] {
            if (sim.engines[engine_index].generation == generation) {
                finish_turn(sim, engine_index, attempt, program, prompt_tokens, cached_prompt_tokens,
                            call_started_at);
            }
        });
    });
}

void start_waiting_calls(simulation& sim, std::size_t engine_index)
{
    simulated_engine& engine = sim.engines[engine_index];
    while (engine.alive && scheduling::may_start(engine.window)) {
        const auto next = scheduling::pop(engine.queue);
        if (!next) {
            return;
        }
        start_attempt(sim, engine_index, next->attempt);
    }
}

/// Stops an engine without its state; its calls are routed again after a short delay.
void fail_engine(simulation& sim, std::size_t engine_index)
{
    simulated_engine& engine = sim.engines[engine_index];
    engine.alive = false;
    ++engine.generation;
    std::vector<program_ptr> lost_programs;
    for (const auto& [attempt, program] : engine.waiting_programs) {
        lost_programs.push_back(program);
    }
    for (const auto& [attempt, program] : engine.running_programs) {
        lost_programs.push_back(program);
    }
    engine.waiting_programs.clear();
    engine.running_programs.clear();
    engine.expected_costs.clear();
    engine.queue = {};
    engine.queue.policy = sim.policy.queue;
    const auto options = engine.model.options;
    engine.model = {};
    engine.model.options = options;
    engine.model.options.cold_answers = engine_cold_answers;
    engine.model.options.cold_seconds = engine_cold_seconds;
    engine.window.running = 0;
    scheduling::reset_window(engine.window);
    for (const program_ptr& program : lost_programs) {
        sim.schedule(sim.now + 0.2, [&sim, program] {
            route_call(sim, sim.next_call_number % sim.entries.size(), program);
        });
    }
}

/// Charges a request to the single token bucket that refusals are compared with.
/// @return whether it gets a token within promised_token_timeout.
bool passes_reference_bucket(simulation& sim, std::size_t organisation)
{
    // The bucket is represented by `full_at`, the time at which it would be full again.
    const double rate = sim.organisation_rates[organisation];
    const double burst = sim.buckets[organisation].allowed.burst;
    double& full_at = sim.reference_full_at[organisation];
    full_at = std::max(full_at, sim.now);
    const double wait = (full_at - sim.now) - (burst - 1) / rate;
    if (wait > promised_token_timeout) {
        return false;
    }
    full_at += 1 / rate;
    return true;
}

/// Takes a rate token at a random entry and routes the program's next call, or queues the program for a
/// token.
void request_token(simulation& sim, const program_ptr& program)
{
    const std::size_t entry_index = next_random(sim.random_state) % sim.entries.size();
    simulated_entry& entry = sim.entries[entry_index];
    const auto organisation = static_cast<std::size_t>(program->organisation);
    program->requested_at = sim.now;
    const bool is_within_rate = passes_reference_bucket(sim, organisation);
    sim.result.requests_within_rate +=
        is_within_rate && program->organisation != sim.workload.noisy_organisation ? 1 : 0;
    sim.reference_refused_counts[organisation] += is_within_rate ? 0 : 1;
    limit::record_demand(entry.token_leases[organisation], sim.current_time());
    if (entry.waiting_programs[organisation].empty() &&
        limit::spend_token(entry.token_leases[organisation], sim.current_time())) {
        route_call(sim, entry_index, program);
        return;
    }
    entry.waiting_programs[organisation].push_back(program);
}

/// Gives available rate tokens to waiting programs and refuses those that waited for token_timeout.
void serve_waiting_programs(simulation& sim, std::size_t entry_index, std::size_t organisation_index)
{
    simulated_entry& entry = sim.entries[entry_index];
    auto& waiting = entry.waiting_programs[organisation_index];
    while (!waiting.empty()) {
        const program_ptr program = waiting.front();
        if (limit::spend_token(entry.token_leases[organisation_index], sim.current_time())) {
            waiting.pop_front();
            route_call(sim, entry_index, program);
            continue;
        }
        if (sim.now - program->requested_at < token_timeout) {
            return;
        }
        waiting.pop_front();
        ++sim.result.refused_total;
        ++sim.refused_counts[organisation_index];
        // The caller retries after the delay that a refusal gives.
        sim.schedule(sim.now + 2.0, [&sim, program] { request_token(sim, program); });
    }
}

/// Requests rate tokens from the buckets at a fixed interval.
void schedule_token_requests(simulation& sim, std::size_t entry_index)
{
    constexpr double interval = 0.02;
    constexpr double round_trip = 0.003;
    sim.schedule(sim.now + interval, [&sim, entry_index] {
        simulated_entry& entry = sim.entries[entry_index];
        for (std::size_t i = 0; i < sim.buckets.size(); ++i) {
            const auto requested_at = sim.current_time();
            const limit::borrow_request request = limit::prepare_request(
                entry.token_leases[i], incarnation_id{entry_index + 1}, ++entry.request_sequences[i],
                entry.waiting_programs[i].size(), requested_at);
            if (!limit::is_request_due(entry.token_leases[i], request, requested_at)) {
                --entry.request_sequences[i];
                serve_waiting_programs(sim, entry_index, i);
                continue;
            }
            limit::record_request_sent(entry.token_leases[i], request, requested_at);
            const double granted_tokens = limit::lend_tokens(sim.buckets[i], request, requested_at);
            sim.schedule(sim.now + round_trip, [&sim, entry_index, i, request, granted_tokens, requested_at] {
                limit::receive_grant(sim.entries[entry_index].token_leases[i], request, granted_tokens,
                                     requested_at, sim.current_time());
                serve_waiting_programs(sim, entry_index, i);
            });
        }
        if (sim.now < sim.end_time() + 600) {
            schedule_token_requests(sim, entry_index);
        }
    });
}

void schedule_load_reports(simulation& sim)
{
    sim.schedule(sim.now + load_report_interval, [&sim] {
        for (simulated_engine& engine : sim.engines) {
            update_load_report(engine);
        }
        for (simulated_entry& entry : sim.entries) {
            std::fill(entry.sent_since_report.begin(), entry.sent_since_report.end(), 0);
        }
        if (sim.now < sim.end_time() + 600) {
            schedule_load_reports(sim);
        }
    });
}

void initialise(simulation& sim)
{
    const workload_options& workload = sim.workload;
    sim.engines.resize(static_cast<std::size_t>(workload.engine_count));
    for (std::size_t i = 0; i < sim.engines.size(); ++i) {
        simulated_engine& engine = sim.engines[i];
        engine.data_centre = static_cast<int>(i) % workload.data_centre_count;
        engine.model.options.slots = engine_slots;
        engine.model.options.seconds_per_token = seconds_per_token;
        engine.model.options.prefill_tokens_per_second = prefill_rate;
        engine.model.options.cache_tokens = engine_cache_tokens;
        engine.queue.policy = sim.policy.queue;
        engine.window.options.max_size = engine_slots;
        engine.window.options.latency_goal = std::chrono::milliseconds(1500);
        if (!sim.policy.adaptive_window) {
            engine.window.size = engine_slots;
            engine.window.options.latency_goal = std::chrono::hours(1);
        }
        scheduling::set_reported_slots(engine.window, engine_slots);
        update_load_report(engine);
    }
    const double capacity = static_cast<double>(workload.engine_count) * engine_slots /
                            mean_program_slot_seconds(); // programs a second
    const double arrival_rate = capacity * workload.load;
    for (std::size_t i = 0; i < workload.organisation_shares.size(); ++i) {
        const double program_rate = arrival_rate * workload.organisation_shares[i];
        const double request_rate = program_rate * mean_turns_per_program;
        sim.organisation_rates.push_back(request_rate * rate_margin);
        sim.reference_full_at.push_back(0);
        sim.refused_counts.push_back(0);
        sim.reference_refused_counts.push_back(0);
        sim.buckets.push_back(limit::make_bucket(
            {sim.organisation_rates[i], std::max(10.0, sim.organisation_rates[i] * burst_seconds)},
            time_point{from_seconds(3500)}));
        const bool is_noisy = static_cast<int>(i) == workload.noisy_organisation;
        schedule_arrivals(sim, static_cast<int>(i), is_noisy ? program_rate * 5 : program_rate,
                          workload.seed * 1000 + i);
    }
    for (int i = 0; i < entry_count; ++i) {
        simulated_entry entry;
        entry.data_centre = i % workload.data_centre_count;
        entry.token_leases.resize(workload.organisation_shares.size());
        entry.request_sequences.resize(workload.organisation_shares.size());
        entry.waiting_programs.resize(workload.organisation_shares.size());
        entry.sent_since_report.resize(sim.engines.size());
        sim.entries.push_back(std::move(entry));
        schedule_token_requests(sim, static_cast<std::size_t>(i));
    }
    sim.result.slowdowns.resize(workload.organisation_shares.size());
    schedule_load_reports(sim);
    if (workload.failing_engine >= 0) {
        const auto engine_index = static_cast<std::size_t>(workload.failing_engine);
        sim.schedule(workload.engine_failure_time, [&sim, engine_index] { fail_engine(sim, engine_index); });
        sim.schedule(workload.engine_restart_time, [&sim, engine_index] {
            sim.engines[engine_index].alive = true;
            sim.engines[engine_index].restarted_at = sim.now;
            update_load_report(sim.engines[engine_index]);
        });
    }
    if (workload.reset_engine >= 0) {
        const auto engine_index = static_cast<std::size_t>(workload.reset_engine);
        sim.schedule(workload.engine_reset_time, [&sim, engine_index] {
            fakes::engine_model& model = sim.engines[engine_index].model;
            model.cached.clear();
            model.lru_order.clear();
            model.total_cached_tokens = 0;
            model.answered_calls = 0;
            model.options.cold_answers = engine_cold_answers;
            model.options.cold_seconds = engine_cold_seconds;
        });
    }
}

} // namespace

simulation_result run_simulation(const workload_options& workload, const policy_options& policy)
{
    simulation sim(workload, policy);
    initialise(sim);
    while (!sim.event_queue.empty() && sim.now < sim.end_time() + 600) {
        auto [key, action] = sim.event_queue.top();
        sim.event_queue.pop();
        sim.now = key.first;
        ++sim.result.event_count;
        action();
    }
    // Count only refusals beyond those of a single token bucket with the promised timeout, and none of the
    // organisation that exceeds its rate.
    for (std::size_t i = 0; i < sim.refused_counts.size(); ++i) {
        const bool is_noisy = static_cast<int>(i) == workload.noisy_organisation;
        sim.result.refused_within_rate +=
            is_noisy
                ? 0
                : sim.refused_counts[i] - std::min(sim.refused_counts[i], sim.reference_refused_counts[i]);
    }
    return std::move(sim.result);
}

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

double mean(const std::vector<double>& values)
{
    double sum = 0;
    for (const double value : values) {
        sum += value;
    }
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

} // namespace guavawick::bench
