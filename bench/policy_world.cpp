// The world of the policy bench. It has no model of a network beyond a constant delay between data centres.
#include "policy_world.hpp"

#include "base/hash_func.hpp"

#include <algorithm>
#include <cmath>
#include <memory>

namespace guavawick::bench {
namespace {

constexpr std::uint32_t slots = 16;
constexpr double seconds_per_token = 0.02;
constexpr double prefill_rate = 4000;
constexpr std::uint64_t cache_room = 400000; ///< tokens of one engine
constexpr int entry_count = 3;
constexpr double weight_power = 0.5;         ///< of the rate; as the entry weighs organisations
constexpr double report_interval = 0.5;      ///< reports of load lag by this
constexpr double rate_margin = 1.5;          ///< an organisation's rate over its mean demand
constexpr double burst_seconds = 6;          ///< burst over rate
constexpr double promised_token_wait = 10;   ///< a request waits this long for its rate
constexpr double most_token_wait = 12;       ///< and this much with the skew of order among entries
constexpr double queue_limit = 60;           ///< a call waits this long for its start
constexpr double first_prompt_tokens = 3000; ///< mean: the case's documents
constexpr double mean_added_tokens = 800;    ///< of a turn: tool output and the caller's words
constexpr double mean_answer_tokens = 120;
constexpr double turns_per_program = 12; ///< mean, with those of sub-agents
constexpr double cold_extra = 4.0;
constexpr std::uint32_t cold_answers = 3;

struct program {
    int organisation = 0;
    int turns = 1;
    int turn = 0;
    std::string name;
    std::uint64_t history = 0; ///< tokens
    std::uint64_t answer = 0;  ///< tokens of the present turn
    std::uint64_t added = 0;   ///< new prompt tokens of the present turn
    double started = 0;
    double ideal = 0; ///< seconds with no one else and a warm cache
    std::uint64_t attained = 0;
    bool measured = false;
    std::uint64_t longest_cached = 0; ///< prefix that some engine once held
    double asked_at = 0;
    int last_engine = -1;            ///< where the ledger says that the program ran last
    std::shared_ptr<program> parent; ///< a sub-agent's parent waits for it
    int children_left = 0;
    std::uint64_t random = 1; ///< its own generator, so that every policy meets the same programs
};

using program_ptr = std::shared_ptr<program>;

struct engine_place {
    fakes::engine_model engine;
    scheduling::call_queue queue;
    scheduling::window_state window;
    std::map<attempt_id, program_ptr> waiting;
    std::map<attempt_id, double> expected;
    std::map<attempt_id, program_ptr> running;
    int centre = 0;
    bool alive = true;
    std::uint64_t generation = 0;
    routing::load_report report;
    double mean_call = 2.0;
    double back_at = -1;  ///< when it came back from its loss
    double bears_at = -1; ///< when it first answered at its usual speed again
};

struct entry_place {
    int centre = 0;
    std::vector<limit::token_lease> purses;
    std::vector<std::uint64_t> sequences;
    std::vector<std::uint32_t> sent_since;
    std::vector<std::deque<program_ptr>> waiting; ///< for a token, by organisation
};

struct world {
    const workload& work;
    const policy_choice& policy;
    std::uint64_t random;
    double now = 0;
    using event = std::pair<double, std::function<void()>>;
    struct later {
        bool operator()(const std::pair<std::pair<double, std::uint64_t>, std::function<void()>>& a,
                        const std::pair<std::pair<double, std::uint64_t>, std::function<void()>>& b) const
        {
            return a.first > b.first;
        }
    };
    std::priority_queue<std::pair<std::pair<double, std::uint64_t>, std::function<void()>>,
                        std::vector<std::pair<std::pair<double, std::uint64_t>, std::function<void()>>>,
                        later>
        agenda;
    std::uint64_t order = 0;
    std::vector<engine_place> engines;
    std::vector<entry_place> entries;
    std::vector<limit::bucket> owners;
    std::vector<double> rates;
    std::vector<std::uint64_t> refused;           ///< by organisation
    std::vector<std::uint64_t> refused_reference; ///< by organisation: what one central bucket refuses
    std::vector<double> reference; ///< by organisation: when one central bucket would be full again
    std::uint64_t next_attempt = 1;
    std::uint64_t next_program = 1;
    std::uint64_t turns = 0;
    run_result result;

    world(const workload& wanted, const policy_choice& chosen)
        : work(wanted), policy(chosen), random(wanted.seed)
    {
    }

    static double uniform_of(std::uint64_t& state)
    {
        return static_cast<double>(next_random(state) >> 11U) / 9007199254740992.0;
    }
    static double exponential_of(std::uint64_t& state, double mean_value)
    {
        return -mean_value * std::log(1.0 - uniform_of(state));
    }
    double uniform() { return static_cast<double>(next_random(random) >> 11U) / 9007199254740992.0; }
    double exponential(double mean_value) { return -mean_value * std::log(1.0 - uniform()); }
    void at(double when, std::function<void()> what) { agenda.push({{when, ++order}, std::move(what)}); }
    [[nodiscard]] time_point clock() const { return time_point{from_seconds(now + 3600)}; }
    [[nodiscard]] double end() const { return work.warm_seconds + work.measured_seconds; }
};

double ideal_turn(std::uint64_t added, std::uint64_t answer)
{
    return static_cast<double>(added) / prefill_rate + seconds_per_token * static_cast<double>(answer + 1);
}

/// Mean work of one program in seconds of one engine slot, for the arrival rate that a load means.
double mean_program_work()
{
    // Means of the distributions in new_turn() and new_program(): turns, answer tokens, added tokens.
    constexpr double turns = turns_per_program;
    constexpr double answer = mean_answer_tokens;
    constexpr double added = mean_added_tokens + first_prompt_tokens / turns_per_program;
    const double slowed = 1.0 + fakes::engine_options{}.batch_slow_down * (slots - 1);
    return turns * (answer * seconds_per_token * slowed + added / prefill_rate * slowed);
}

void new_turn(program& one)
{
    const double first = one.turn == 0 && !one.parent ? first_prompt_tokens : 0;
    one.answer = 20 + static_cast<std::uint64_t>(world::exponential_of(one.random, mean_answer_tokens - 20));
    one.answer = std::min<std::uint64_t>(one.answer, 900);
    one.added =
        50 + static_cast<std::uint64_t>(world::exponential_of(one.random, mean_added_tokens + first - 50));
    one.added = std::min<std::uint64_t>(one.added, 20000);
    one.ideal += ideal_turn(one.added, one.answer);
}

void ask(world& here, const program_ptr& one);

program_ptr new_program(world& here, int organisation, int most_turns, std::uint64_t random)
{
    auto made = std::make_shared<program>();
    made->organisation = organisation;
    made->random = random;
    made->turns = std::min(most_turns, 1 + static_cast<int>(world::exponential_of(made->random, 7.5)));
    made->name = "o" + std::to_string(organisation) + "/p" + std::to_string(here.next_program++);
    made->started = here.now;
    made->measured = here.now >= here.work.warm_seconds;
    return made;
}

void schedule_arrivals(world& here, int organisation, double per_second, std::uint64_t random)
{
    const double gap = world::exponential_of(random, 1.0 / per_second);
    here.at(here.now + gap, [&here, organisation, per_second, random] {
        if (here.now > here.end()) {
            return;
        }
        schedule_arrivals(here, organisation, per_second, random);
        const program_ptr one = new_program(here, organisation, 60, hash_bytes("program", random));
        new_turn(*one);
        ask(here, one);
    });
}

bool takes_work(const world& here, const engine_place& there)
{
    const bool out = there.centre == here.work.out_centre && here.now >= here.work.out_from &&
                     here.now < here.work.out_until;
    return there.alive && !out;
}

void finish_program(world& here, const program_ptr& one)
{
    if (one->parent) {
        if (--one->parent->children_left == 0) {
            ask(here, one->parent);
        }
        return;
    }
    if (!one->measured) {
        return;
    }
    const double latency = here.now - one->started;
    here.result.latencies.push_back(latency);
    here.result.slowdowns[static_cast<std::size_t>(one->organisation)].push_back(latency / one->ideal);
}

void pump(world& here, std::size_t place);

void fill_report(engine_place& there)
{
    there.report.running = static_cast<std::uint32_t>(there.window.running);
    there.report.queued = static_cast<std::uint32_t>(there.queue.calls.size());
    there.report.window = static_cast<std::uint32_t>(scheduling::window_limit(there.window));
    there.report.queued_tokens = there.queue.cost_tokens;
    there.report.seconds_per_token = seconds_per_token * 1.5;
    there.report.prefill_tokens_per_second = prefill_rate;
    there.report.mean_call_seconds = there.mean_call;
    there.report.cold = there.window.average_latency_seconds == 0;
}

void route(world& here, std::size_t entry, const program_ptr& one)
{
    entry_place& from = here.entries[entry];
    std::vector<routing::candidate> found;
    std::vector<std::size_t> places;
    for (std::size_t i = 0; i < here.engines.size(); ++i) {
        const engine_place& there = here.engines[i];
        if (!takes_work(here, there)) {
            continue;
        }
        const bool cached = one->last_engine == static_cast<int>(i);
        found.push_back({upstream_name{"u" + std::to_string(i)}, incarnation_id{1}, "",
                         there.centre == from.centre, there.report, from.sent_since[i],
                         cached ? one->history : 0});
        places.push_back(i);
    }
    routing::routing_request wish;
    wish.policy = here.policy.routing;
    wish.affinity_hash = hash_bytes(one->name);
    wish.prompt_tokens = one->history + one->added;
    wish.call_number = here.turns++;
    const auto chosen = routing::choose_upstream(found, wish);
    if (!chosen) {
        here.at(here.now + 0.1, [&here, entry, one] { route(here, entry, one); });
        return;
    }
    const std::size_t place = places[*chosen];
    ++from.sent_since[place];
    const double way = here.engines[place].centre == from.centre ? 0.0001 : here.work.seconds_between;
    here.at(here.now + way, [&here, place, entry, one] {
        engine_place& there = here.engines[place];
        if (!takes_work(here, there)) {
            route(here, entry, one);
            return;
        }
        const attempt_id attempt{here.next_attempt++};
        const std::uint64_t cached = here.policy.routing == routing::routing_policy::expected_time
                                         ? fakes::cached_tokens(there.engine, one->name)
                                         : 0;
        scheduling::queued_call call;
        call.attempt = attempt;
        call.organisation = organisation_name{"o" + std::to_string(one->organisation)};
        call.program = program_name{one->name};
        call.weight = std::pow(here.rates[static_cast<std::size_t>(one->organisation)], weight_power);
        call.attained_tokens = one->attained;
        call.cost_tokens = scheduling::expected_cost(one->history + one->added, cached, 150);
        call.arrived_at = here.clock();
        there.waiting[attempt] = one;
        there.expected[attempt] = call.cost_tokens;
        scheduling::push(there.queue, call);
        one->last_engine = static_cast<int>(place);
        pump(here, place);
    });
}

void end_turn(world& here, std::size_t place, attempt_id attempt, const program_ptr& one,
              std::uint64_t prompt, std::uint64_t cached, double began)
{
    engine_place& there = here.engines[place];
    there.running.erase(attempt);
    fakes::end_call(there.engine, one->name, prompt + one->answer);
    scheduling::record_end(there.window);
    there.mean_call = there.mean_call * 0.9 + (here.now - began) * 0.1;
    const double real = scheduling::expected_cost(prompt, cached, one->answer);
    scheduling::correct_charge(there.queue, organisation_name{"o" + std::to_string(one->organisation)},
                               there.expected[attempt], real);
    there.expected.erase(attempt);
    one->attained += prompt - cached + one->answer;
    one->history = prompt + one->answer;
    one->longest_cached = one->history;
    pump(here, place);
    ++one->turn;
    if (one->turn >= one->turns) {
        finish_program(here, one);
        return;
    }
    new_turn(*one);
    const double pause = std::min(20.0, world::exponential_of(one->random, 1.5));
    one->ideal += pause;
    const bool spawns = !one->parent && one->turns > 3 && world::uniform_of(one->random) < 0.1;
    if (spawns) {
        // Two sub-agents run in parallel; the program goes on when both have ended.
        one->children_left = 2;
        double longest = 0;
        for (int i = 0; i < 2; ++i) {
            const program_ptr child = new_program(here, one->organisation, 4, next_random(one->random));
            child->parent = one;
            child->measured = false;
            new_turn(*child);
            longest = std::max(longest, child->ideal * child->turns);
            ask(here, child);
        }
        one->ideal += longest;
        return;
    }
    here.at(here.now + pause, [&here, one] { ask(here, one); });
}

void start(world& here, std::size_t place, attempt_id attempt)
{
    engine_place& there = here.engines[place];
    const program_ptr one = there.waiting.at(attempt);
    there.waiting.erase(attempt);
    there.running[attempt] = one;
    scheduling::record_start(there.window);
    here.result.over_window += there.window.running > scheduling::window_limit(there.window) ? 1 : 0;
    const std::uint64_t prompt = one->history + one->added;
    const std::uint64_t cached = std::min(prompt, fakes::cached_tokens(there.engine, one->name));
    if (here.now >= here.work.warm_seconds) {
        here.result.prompt_tokens += prompt;
        here.result.repeated_tokens += one->longest_cached > cached ? one->longest_cached - cached : 0;
    }
    const double began = here.now;
    const double first = fakes::start_call(there.engine, one->name, prompt);
    const std::uint64_t generation = there.generation;
    here.at(here.now + first, [&here, place, attempt, one, prompt, cached, began, generation] {
        engine_place& held = here.engines[place];
        if (held.generation != generation) {
            return; // the engine was lost; the call was taken elsewhere
        }
        scheduling::record_first_token(held.window, from_seconds(here.now - began),
                                       scheduling::prefill_allowance(prompt, prefill_rate), here.clock());
        if (held.back_at >= 0 && held.bears_at < 0 &&
            held.engine.answered >= held.engine.options.cold_answers) {
            held.bears_at = here.now; // from here on it answers at its usual speed
        }
        if (held.bears_at >= 0 && scheduling::window_limit(held.window) >= slots) {
            here.result.full_use_seconds = std::max(0.001, here.now - held.bears_at);
            held.back_at = -1;
            held.bears_at = -1;
        }
        pump(here, place);
        const double rest = fakes::token_seconds(held.engine) * static_cast<double>(one->answer);
        here.at(here.now + rest, [&here, place, attempt, one, prompt, cached, began, generation] {
            if (here.engines[place].generation == generation) {
                end_turn(here, place, attempt, one, prompt, cached, began);
            }
        });
    });
}

void pump(world& here, std::size_t place)
{
    engine_place& there = here.engines[place];
    while (there.alive && scheduling::may_start(there.window)) {
        const auto next = scheduling::pop(there.queue);
        if (!next) {
            return;
        }
        start(here, place, next->attempt);
    }
}

void lose_engine(world& here, std::size_t place)
{
    engine_place& there = here.engines[place];
    there.alive = false;
    ++there.generation;
    std::vector<program_ptr> orphans;
    for (const auto& [attempt, one] : there.waiting) {
        orphans.push_back(one);
    }
    for (const auto& [attempt, one] : there.running) {
        orphans.push_back(one);
    }
    there.waiting.clear();
    there.running.clear();
    there.expected.clear();
    there.queue = {};
    there.queue.policy = here.policy.queue;
    const auto options = there.engine.options;
    there.engine = {};
    there.engine.options = options;
    there.engine.options.cold_answers = cold_answers;
    there.engine.options.cold_seconds = cold_extra;
    there.window.running = 0;
    scheduling::reset_window(there.window);
    for (const program_ptr& one : orphans) {
        here.at(here.now + 0.2, [&here, one] { route(here, here.turns % here.entries.size(), one); });
    }
}

/// Tells whether one central bucket would let a request of now through, waiting as long as the entries
/// promise.
bool passes_reference(world& here, std::size_t organisation)
{
    // As a clock: `full_at` is when the bucket would be full again.
    const double rate = here.rates[organisation];
    const double burst = here.owners[organisation].allowed.burst;
    double& full_at = here.reference[organisation];
    full_at = std::max(full_at, here.now);
    const double wait = (full_at - here.now) - (burst - 1) / rate;
    if (wait > promised_token_wait) {
        return false;
    }
    full_at += 1 / rate;
    return true;
}

/// Asks for a token of the organisation's rate, then routes.
void ask(world& here, const program_ptr& one)
{
    const std::size_t entry = next_random(here.random) % here.entries.size();
    entry_place& from = here.entries[entry];
    const auto organisation = static_cast<std::size_t>(one->organisation);
    one->asked_at = here.now;
    const bool within = passes_reference(here, organisation);
    here.result.asked_within += within && one->organisation != here.work.loud ? 1 : 0;
    here.refused_reference[organisation] += within ? 0 : 1;
    limit::record_demand(from.purses[organisation], here.clock());
    if (from.waiting[organisation].empty() && limit::spend_token(from.purses[organisation], here.clock())) {
        route(here, entry, one);
        return;
    }
    from.waiting[organisation].push_back(one);
}

void serve_waiting(world& here, std::size_t entry, std::size_t organisation)
{
    entry_place& from = here.entries[entry];
    auto& waiting = from.waiting[organisation];
    while (!waiting.empty()) {
        const program_ptr one = waiting.front();
        if (limit::spend_token(from.purses[organisation], here.clock())) {
            waiting.pop_front();
            route(here, entry, one);
            continue;
        }
        if (here.now - one->asked_at < most_token_wait) {
            return;
        }
        waiting.pop_front();
        ++here.result.refused_all;
        ++here.refused[organisation];
        // The caller comes back after what it was told.
        here.at(here.now + 2.0, [&here, one] { ask(here, one); });
    }
}

void borrow_loop(world& here, std::size_t entry)
{
    constexpr double interval = 0.02;
    constexpr double round_trip = 0.003;
    here.at(here.now + interval, [&here, entry] {
        entry_place& from = here.entries[entry];
        for (std::size_t i = 0; i < here.owners.size(); ++i) {
            const auto asked_at = here.clock();
            const limit::borrow_request wish =
                limit::prepare_request(from.purses[i], incarnation_id{entry + 1}, ++from.sequences[i],
                                       from.waiting[i].size(), asked_at);
            if (!limit::is_request_due(from.purses[i], wish, asked_at)) {
                --from.sequences[i];
                serve_waiting(here, entry, i);
                continue;
            }
            limit::record_request_sent(from.purses[i], wish, asked_at);
            const double granted = limit::lend_tokens(here.owners[i], wish, asked_at);
            here.at(here.now + round_trip, [&here, entry, i, wish, granted, asked_at] {
                limit::receive_grant(here.entries[entry].purses[i], wish, granted, asked_at, here.clock());
                serve_waiting(here, entry, i);
            });
        }
        if (here.now < here.end() + 600) {
            borrow_loop(here, entry);
        }
    });
}

void report_loop(world& here)
{
    here.at(here.now + report_interval, [&here] {
        for (engine_place& one : here.engines) {
            fill_report(one);
        }
        for (entry_place& one : here.entries) {
            std::fill(one.sent_since.begin(), one.sent_since.end(), 0);
        }
        if (here.now < here.end() + 600) {
            report_loop(here);
        }
    });
}

void build(world& here)
{
    const workload& work = here.work;
    here.engines.resize(static_cast<std::size_t>(work.engines));
    for (std::size_t i = 0; i < here.engines.size(); ++i) {
        engine_place& one = here.engines[i];
        one.centre = static_cast<int>(i) % work.data_centres;
        one.engine.options.slots = slots;
        one.engine.options.seconds_per_token = seconds_per_token;
        one.engine.options.prefill_tokens_per_second = prefill_rate;
        one.engine.options.cache_tokens = cache_room;
        one.queue.policy = here.policy.queue;
        one.window.options.max_size = slots;
        one.window.options.latency_goal = std::chrono::milliseconds(1500);
        if (!here.policy.window) {
            one.window.size = slots;
            one.window.options.latency_goal = std::chrono::hours(1);
        }
        scheduling::set_reported_slots(one.window, slots);
        fill_report(one);
    }
    const double capacity =
        static_cast<double>(work.engines) * slots / mean_program_work(); // programs a second
    const double arrivals = capacity * work.load;
    for (std::size_t i = 0; i < work.shares.size(); ++i) {
        const double own = arrivals * work.shares[i];
        const double requests = own * turns_per_program;
        here.rates.push_back(requests * rate_margin);
        here.reference.push_back(0);
        here.refused.push_back(0);
        here.refused_reference.push_back(0);
        here.owners.push_back(limit::make_bucket(
            {here.rates[i], std::max(10.0, here.rates[i] * burst_seconds)}, time_point{from_seconds(3500)}));
        const bool loud = static_cast<int>(i) == work.loud;
        schedule_arrivals(here, static_cast<int>(i), loud ? own * 5 : own, work.seed * 1000 + i);
    }
    for (int i = 0; i < entry_count; ++i) {
        entry_place made;
        made.centre = i % work.data_centres;
        made.purses.resize(work.shares.size());
        made.sequences.resize(work.shares.size());
        made.waiting.resize(work.shares.size());
        made.sent_since.resize(here.engines.size());
        here.entries.push_back(std::move(made));
        borrow_loop(here, static_cast<std::size_t>(i));
    }
    here.result.slowdowns.resize(work.shares.size());
    report_loop(here);
    if (work.dying_engine >= 0) {
        const auto place = static_cast<std::size_t>(work.dying_engine);
        here.at(work.dies_at, [&here, place] { lose_engine(here, place); });
        here.at(work.back_at, [&here, place] {
            here.engines[place].alive = true;
            here.engines[place].back_at = here.now;
            fill_report(here.engines[place]);
        });
    }
    if (work.cold_engine >= 0) {
        const auto place = static_cast<std::size_t>(work.cold_engine);
        here.at(work.cold_at, [&here, place] {
            fakes::engine_model& engine = here.engines[place].engine;
            engine.cached.clear();
            engine.age.clear();
            engine.held = 0;
            engine.answered = 0;
            engine.options.cold_answers = cold_answers;
            engine.options.cold_seconds = cold_extra;
        });
    }
}

} // namespace

run_result run_world(const workload& work, const policy_choice& policy)
{
    world here(work, policy);
    build(here);
    while (!here.agenda.empty() && here.now < here.end() + 600) {
        auto [when, what] = here.agenda.top();
        here.agenda.pop();
        here.now = when.first;
        ++here.result.events;
        what();
    }
    // Refusals beyond those of one central bucket with the same patience; who is over the rate is not
    // counted.
    for (std::size_t i = 0; i < here.refused.size(); ++i) {
        const bool loud = static_cast<int>(i) == work.loud;
        here.result.refused_within +=
            loud ? 0 : here.refused[i] - std::min(here.refused[i], here.refused_reference[i]);
    }
    return std::move(here.result);
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto place = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(place), values.end());
    return values[place];
}

double mean(const std::vector<double>& values)
{
    double sum = 0;
    for (const double one : values) {
        sum += one;
    }
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

} // namespace guavawick::bench
