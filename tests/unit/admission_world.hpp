// Simulation of a service of model engines behind gateways that each see only their own calls. Engines are
// closed servers: a step reads one chunk of prompts and generates one token for every call that has been
// read.
#pragma once

#include "admission/admission_func.hpp"
#include "admission/congestion_func.hpp"
#include "queueing/urgency_func.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace guavawick::tests {

using namespace std::chrono_literals;

/// The load that is played, in milliseconds and calls, by default that of the band deployment.
struct world_settings {
    bool load_aware = true;
    std::size_t gateways = 21;
    std::size_t engines = 41;
    double programs_per_second = 31;
    double burst = 2.3; ///< multiple of the usual load
    double burst_begin = 10'000;
    double burst_end = 16'000;
    std::size_t organisations = 20;
    double hot_factor = 7; ///< multiple of the hot organisation's usual load
    double hot_begin = 14'000;
    double hot_end = 22'000;
    double end = 40'000;             ///< of arrivals
    double objective_factor = 2.45;  ///< of the time on idle engines
    double warm_share = 0.6;         ///< of the later turns that run where their history is cached
    bool paces_starts = true;        ///< first turns are admitted by load
    std::size_t slow_engine = 1'000; ///< one that takes 4 times as long; none if there is no such engine
    unsigned seed = 1;
};

/// What the callers of one organisation or kind got.
struct world_result {
    double asked = 0;
    double in_time = 0;
    double late = 0;
    double refused = 0;
    double max_wait = 0; ///< of a first turn at a gateway
    double sum_wait = 0;
    double later_refused = 0; ///< refusals of later turns
    double idle_refused = 0;  ///< refusals while less than half of the slots were taken and nothing waited
};

class admission_world {
public:
    explicit admission_world(const world_settings& settings)
        : settings_(settings), random_(settings.seed), arrivals_(settings.seed), engines_(settings.engines),
          gateways_(settings.gateways), results(settings.organisations)
    {
        for (gateway& at : gateways_) {
            at.reports.resize(settings.engines);
        }
    }

    void run()
    {
        schedule(0, [this] { arrive(); });
        while (!events_.empty()) {
            const event next = events_.top();
            events_.pop();
            now_ = next.at;
            auto action = std::move(actions_[next.action]);
            free_actions_.push_back(next.action);
            action();
        }
    }

    world_result total() const
    {
        world_result sum;
        for (const world_result& one : results) {
            sum.asked += one.asked;
            sum.in_time += one.in_time;
            sum.late += one.late;
            sum.refused += one.refused;
            sum.sum_wait += one.sum_wait;
            sum.max_wait = std::max(sum.max_wait, one.max_wait);
            sum.later_refused += one.later_refused;
            sum.idle_refused += one.idle_refused;
        }
        return sum;
    }

private:
    struct program {
        std::size_t organisation = 0;
        int turns = 0;
        int turn = 0;
        double objective = 0;   ///< point in time
        double history = 0;     ///< tokens
        std::size_t engine = 0; ///< of the last turn
        int refusals = 0;
    };
    struct engine_call {
        program* of = nullptr;
        std::size_t gateway = 0;
        double unread = 0;
        double tokens = 0; ///< of memory
        int generated = 0;
        admission::turn_observation seen;
        double sent_at = 0;
        double first_at = 0;
        std::uint32_t priority = 0;
    };
    struct engine {
        std::vector<engine_call> running;
        std::vector<std::deque<engine_call>> waiting{10};
        std::size_t waiting_count = 0;
        bool stepping = false;
    };
    struct report {
        double taken = 0;
        double waiting = 0;
        double at = -1e9;
    };
    struct gateway {
        admission::service_admission service;
        std::vector<report> reports;
    };
    struct event {
        double at = 0;
        std::uint64_t sequence = 0;
        std::size_t action = 0;
        bool operator<(const event& other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    static constexpr double slots = 48;
    static constexpr double memory = 131'445;
    static constexpr double prefill_speed = 29.4;
    static constexpr double chunk = 2'048;
    static constexpr double shared_prefix = 2'560;
    static constexpr double think_ms = 100;
    static constexpr int answer = 33;

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    double arrival_uniform() { return std::uniform_real_distribution<double>(0, 1)(arrivals_); }
    time_point clock() const
    {
        return time_point{1h} +
               std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(now_));
    }
    void schedule(double delay, std::function<void()> action)
    {
        std::size_t index = actions_.size();
        if (free_actions_.empty()) {
            actions_.push_back(std::move(action));
        }
        else {
            index = free_actions_.back();
            free_actions_.pop_back();
            actions_[index] = std::move(action);
        }
        events_.push({now_ + delay, next_sequence_++, index});
    }

    void arrive()
    {
        if (now_ > settings_.end) {
            return;
        }
        // The hot organisation usually has a tenth of the load, the others share the rest.
        const bool is_burst = now_ >= settings_.burst_begin && now_ < settings_.burst_end;
        const bool is_hot = now_ >= settings_.hot_begin && now_ < settings_.hot_end;
        const double hot = is_hot ? 0.1 * settings_.hot_factor : 0.1;
        const double rest = 0.9 * (is_burst ? settings_.burst : 1);
        auto* const started = new program;
        programs_.emplace_back(started);
        started->organisation =
            arrival_uniform() < hot / (hot + rest)
                ? 0
                : 1 + static_cast<std::size_t>(arrival_uniform() *
                                               static_cast<double>(settings_.organisations - 1));
        started->turns = 4 + static_cast<int>(arrival_uniform() * 8);
        const double idle_turn = 19 + 770 / prefill_speed + answer * 5.2 + think_ms;
        started->objective =
            now_ + settings_.objective_factor * (started->turns * idle_turn + shared_prefix / prefill_speed);
        results[started->organisation].asked += 1;
        ask(started);
        schedule(-std::log(1 - arrival_uniform()) * 1000 / (settings_.programs_per_second * (hot + rest)),
                 [this] { arrive(); });
    }

    void ask(program* of)
    {
        const auto index = static_cast<std::size_t>(uniform() * static_cast<double>(settings_.gateways));
        const bool first = of->turn == 0;
        double delay = 19;
        if (settings_.load_aware && settings_.paces_starts && first) {
            gateway& at = gateways_[index];
            admission::start_request request;
            request.finish_in =
                std::chrono::milliseconds(static_cast<int>(std::max(0.0, of->objective - now_)));
            request.time_left = 6s;
            request.share_use = admission::share_use(at.service, name(of->organisation), policy, clock());
            request.may_refuse = admission::may_refuse(believed(at), at.service.congestion, policy, clock());
            request.random = uniform();
            const admission::start_decision decision =
                admission::decide_start(at.service, request, policy, clock());
            if (decision.action == admission::start_action::refuse) {
                refuse(of, to_ms_double(decision.retry_after));
                return;
            }
            world_result& result = results[of->organisation];
            result.sum_wait += to_ms_double(decision.hold);
            result.max_wait = std::max(result.max_wait, to_ms_double(decision.hold));
            delay += to_ms_double(decision.hold);
        }
        schedule(delay, [this, of, index] { send(of, index); });
    }

    void refuse(program* of, double retry_after)
    {
        const bool busy = std::any_of(engines_.begin(), engines_.end(),
                                      [](const engine& one) { return one.waiting_count > 0; });
        double taken = 0;
        for (const engine& one : engines_) {
            taken += static_cast<double>(one.running.size());
        }
        results[of->organisation].idle_refused +=
            !busy && taken < slots / 2 * static_cast<double>(engines_.size()) ? 1 : 0;
        results[of->organisation].later_refused += of->turn > 0 ? 1 : 0;
        if (++of->refusals > 1) {
            results[of->organisation].refused += 1;
            return;
        }
        schedule(retry_after, [this, of] { ask(of); });
    }

    admission::believed_load believed(const gateway& at) const
    {
        admission::believed_load load;
        for (const report& one : at.reports) {
            load.slots += slots;
            if (now_ - one.at > to_ms_double(policy.max_report_age)) {
                continue;
            }
            ++load.reports;
            load.taken += one.taken;
            load.waiting_instances += one.waiting > 0 ? 1 : 0;
        }
        return load;
    }

    void send(program* of, std::size_t index)
    {
        const bool first = of->turn == 0;
        const bool warm = !first && uniform() < settings_.warm_share;
        std::size_t target = of->engine;
        if (!warm) {
            const auto a = static_cast<std::size_t>(uniform() * static_cast<double>(engines_.size()));
            const auto b = static_cast<std::size_t>(uniform() * static_cast<double>(engines_.size()));
            target = load(engines_[a]) <= load(engines_[b]) ? a : b;
        }
        engine_call call;
        call.of = of;
        call.gateway = index;
        const double fresh = uniform() < 0.5 ? 514 : 1'030;
        const double prompt = shared_prefix + of->history + fresh;
        call.unread = warm ? fresh : prompt - (uniform() < 0.5 ? shared_prefix : 0);
        call.tokens = prompt + answer;
        call.sent_at = now_;
        call.seen = {
            target + 1, static_cast<std::uint64_t>(prompt), static_cast<std::uint64_t>(fresh), warm, 0, 0,
            answer / 3};
        if (settings_.load_aware) {
            queueing::urgency_inputs urgency;
            urgency.starts_program = first;
            urgency.finish_in =
                std::chrono::milliseconds(static_cast<int>(std::max(0.0, of->objective - now_)));
            call.priority = queueing::engine_priority(urgency);
        }
        engine& at = engines_[target];
        if (at.waiting_count >= 144) {
            refuse(of, 200);
            return;
        }
        of->history += fresh + answer;
        of->engine = target;
        at.waiting[call.priority].push_back(call);
        ++at.waiting_count;
        step(target);
    }

    static double load(const engine& at) { return static_cast<double>(at.running.size() + at.waiting_count); }

    /// Admits waiting calls and runs one step of an engine, unless one is running.
    void step(std::size_t index)
    {
        engine& at = engines_[index];
        if (at.stepping) {
            return;
        }
        double used = 0;
        for (const engine_call& call : at.running) {
            used += call.tokens;
        }
        for (auto& queue : at.waiting) {
            while (!queue.empty() && static_cast<double>(at.running.size()) < slots &&
                   used + queue.front().tokens <= memory) {
                used += queue.front().tokens;
                at.running.push_back(queue.front());
                queue.pop_front();
                --at.waiting_count;
            }
            if (!queue.empty()) {
                break;
            }
        }
        if (at.running.empty()) {
            return;
        }
        at.stepping = true;
        double budget = chunk;
        for (engine_call& call : at.running) {
            const double part = std::min(call.unread, budget);
            call.unread -= part;
            budget -= part;
        }
        const double slowness = index == settings_.slow_engine ? 4 : 1;
        const double length =
            5.1 + 0.0255 * static_cast<double>(at.running.size()) + (chunk - budget) / prefill_speed;
        schedule(length * slowness, [this, index] { finish_step(index); });
    }

    void finish_step(std::size_t index)
    {
        engine& at = engines_[index];
        at.stepping = false;
        for (engine_call& call : at.running) {
            call.generated += call.unread <= 0 ? 1 : 0;
            if (call.generated == 3 && call.first_at <= 0) {
                call.first_at = now_;
                observe_first(call, index);
            }
        }
        for (std::size_t i = 0; i < at.running.size();) {
            if (at.running[i].generated < answer) {
                ++i;
                continue;
            }
            engine_call call = at.running[i];
            at.running.erase(at.running.begin() + static_cast<std::ptrdiff_t>(i));
            end_turn(call);
        }
        step(index);
    }

    void observe_first(engine_call& call, std::size_t index)
    {
        gateway& at = gateways_[call.gateway];
        at.reports[index] = {static_cast<double>(engines_[index].running.size()),
                             static_cast<double>(engines_[index].waiting_count), now_};
        call.seen.first_event_ms = now_ - call.sent_at;
        admission::record_first_event(at.service.congestion, call.seen, policy.congestion, clock());
    }

    void end_turn(engine_call& call)
    {
        gateway& at = gateways_[call.gateway];
        call.seen.stream_ms = now_ - call.first_at;
        admission::record_turn(at.service.congestion, call.seen, policy.congestion, clock());
        admission::record_work(
            at.service, name(call.of->organisation), 0,
            static_cast<double>(call.seen.warm ? call.seen.new_tokens : call.seen.prompt_tokens), policy,
            clock());
        program* const of = call.of;
        if (++of->turn < of->turns) {
            schedule(think_ms, [this, of] { ask(of); });
            return;
        }
        (now_ <= of->objective ? results[of->organisation].in_time : results[of->organisation].late) += 1;
    }

    static std::string name(std::size_t organisation) { return "o" + std::to_string(organisation); }
    static double to_ms_double(duration value) { return to_seconds(value) * 1000; }

    world_settings settings_;
    std::mt19937_64 random_;
    std::mt19937_64 arrivals_; ///< apart, so that the same programs arrive whatever the gateways do
    std::vector<engine> engines_;
    std::vector<gateway> gateways_;
    std::vector<std::unique_ptr<program>> programs_;
    std::priority_queue<event> events_;
    std::vector<std::function<void()>> actions_;
    std::vector<std::size_t> free_actions_;
    std::uint64_t next_sequence_ = 0;
    double now_ = 0;

public:
    admission::admission_settings policy;
    std::vector<world_result> results; ///< by organisation; the first is the hot one
};

} // namespace guavawick::tests
