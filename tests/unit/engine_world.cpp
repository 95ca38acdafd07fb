// Simulated engines with prompt caches behind gateways.
#include "engine_world.hpp"

#include "base/hash_func.hpp"
#include "load/load_func.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <queue>
#include <string>

namespace guavawick::tests {
namespace {

using namespace placing;

constexpr double shared_tokens = 2560;
constexpr double chunk_tokens = 2048; ///< prompt tokens that an engine reads in one step
constexpr double output_tokens = 33;
constexpr double tokens_per_event = 3;
constexpr double base_step_ms = 5.1;
constexpr double step_ms_per_call = 0.0255;
constexpr double min_pause_ms = 100; ///< between two turns of a line
constexpr double max_extra_pause_ms = 200;

struct part {
    std::string id;
    double tokens = 0;
};

/// A line of turns.
struct line {
    std::string program;
    std::vector<part> prompt;
    int turns_left = 0;
    int turn = 0;
    bool starts_agent = false;
    std::string warm_instance; ///< as the ledger knows it
    std::uint64_t random = 0;  ///< of its own, so that all policies get the same programs
};

struct running_call {
    std::shared_ptr<line> owner;
    std::size_t gateway = 0;
    double sent_ms = 0;
    double first_event_at_ms = 0;
    double unread_tokens = 0;
    double prompt_tokens = 0;
    double output_left = output_tokens;
};

/// Prompt cache: parts by hash of the prefix that they end, least recently used last.
struct prompt_cache {
    std::list<std::pair<std::uint64_t, double>> newest_first;
    std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, double>>::iterator> by_key;
    double tokens = 0;
};

struct engine {
    prompt_cache cache;
    std::deque<std::shared_ptr<running_call>> waiting;
    std::vector<std::shared_ptr<running_call>> running;
    bool stepping = false;
};

struct gateway {
    std::vector<instance_load> loads;
    prefix_memory prefixes;
    load::service_timing timing;
};

class world {
public:
    world(const world_settings& settings, std::uint64_t seed)
        : settings_(settings), random_(seed), engines_(settings.engine_count),
          gateways_(settings.gateway_count), records_(settings.engine_count)
    {
        for (std::size_t i = 0; i < records_.size(); ++i) {
            records_[i].id = directory::instance_id{"engine-" + std::to_string(i)};
            records_[i].data_centre = data_centre_name{data_centre(i)};
            records_[i].slots = static_cast<std::uint32_t>(settings.slots);
        }
        for (gateway& sender : gateways_) {
            sender.loads.resize(engines_.size());
        }
        double sum = 0;
        for (int rank = 1; rank <= settings.prefix_count; ++rank) {
            sum += std::pow(rank, -settings.prefix_skew);
            popularity_.push_back(sum);
        }
    }

    world_result run()
    {
        schedule(0, [this] { start_program(); });
        while (!events_.empty()) {
            const event next = events_.top();
            events_.pop();
            now_ms_ = next.at_ms;
            next.action();
        }
        return summarise();
    }

private:
    struct event {
        double at_ms;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return at_ms != other.at_ms ? at_ms > other.at_ms : sequence > other.sequence;
        }
    };

    [[nodiscard]] std::string data_centre(std::size_t index) const
    {
        return "dc-" + std::to_string(index % static_cast<std::size_t>(settings_.data_centre_count));
    }
    [[nodiscard]] time_point now() const { return time_point{1h} + from_seconds(now_ms_ / 1000); }
    static double uniform(std::uint64_t& random)
    {
        return static_cast<double>(next_random(random) >> 11U) * 0x1p-53;
    }
    void schedule(double delay_ms, std::function<void()> action)
    {
        events_.push({now_ms_ + delay_ms, sequence_++, std::move(action)});
    }
    part make_part(double tokens) { return {"part-" + std::to_string(part_count_++), tokens}; }

    void start_program()
    {
        if (now_ms_ > settings_.seconds * 1000) {
            return;
        }
        const bool in_burst =
            now_ms_ >= settings_.burst_start_s * 1000 && now_ms_ < settings_.burst_end_s * 1000;
        const double programs_per_s = settings_.programs_per_s * (in_burst ? settings_.burst_factor : 1);
        schedule(-std::log(1 - uniform(random_)) * 1000 / programs_per_s, [this] { start_program(); });
        const auto first = std::make_shared<line>();
        first->random = next_random(random_);
        const double choice = uniform(first->random) * popularity_.back();
        const auto rank =
            std::lower_bound(popularity_.begin(), popularity_.end(), choice) - popularity_.begin();
        first->program = "program-" + std::to_string(program_count_++);
        first->prompt.push_back({"prefix-" + std::to_string(rank), shared_tokens});
        first->turns_left = 4 + static_cast<int>(uniform(first->random) * 8);
        first->starts_agent = uniform(first->random) < settings_.second_agents;
        send_turn(first);
    }

    void send_turn(const std::shared_ptr<line>& owner)
    {
        owner->prompt.push_back(make_part(uniform(owner->random) < 0.5 ? 514 : 1030));
        const auto call = std::make_shared<running_call>();
        call->owner = owner;
        call->gateway =
            static_cast<std::size_t>(uniform(owner->random) * static_cast<double>(gateways_.size()));
        call->sent_ms = now_ms_;
        for (const part& item : owner->prompt) {
            call->prompt_tokens += item.tokens;
        }
        const std::size_t chosen = place(*call);
        ++gateways_[call->gateway].loads[chosen].own_running;
        if (!owner->warm_instance.empty()) {
            ++later_turns_;
            warm_turns_ += owner->warm_instance == records_[chosen].id.value ? 1 : 0;
        }
        owner->warm_instance = records_[chosen].id.value;
        engines_[chosen].waiting.push_back(call);
        if (!engines_[chosen].stepping) {
            step(chosen);
        }
    }

    std::size_t place(const running_call& call)
    {
        gateway& sender = gateways_[call.gateway];
        std::vector<candidate> candidates;
        for (std::size_t i = 0; i < records_.size(); ++i) {
            candidates.push_back({&records_[i], &sender.loads[i]});
        }
        placement_request request;
        request.model = true;
        request.load_aware = settings_.by_prefix;
        request.learned_load = settings_.by_prefix;
        request.affinity_key = call.owner->program;
        request.warm_instance = call.owner->warm_instance;
        request.prompt_tokens = static_cast<std::uint64_t>(call.prompt_tokens);
        request.shared_prefix_tokens = static_cast<std::uint64_t>(shared_tokens);
        request.own_data_centre = data_centre_name{data_centre(call.gateway)};
        std::vector<prompt_prefix> prefixes;
        const duration retention = cache_retention(static_cast<std::uint64_t>(settings_.memory_tokens),
                                                   settings_.costs.prefill_tokens_per_ms, settings_.prefixes);
        if (settings_.by_prefix) {
            for (const part& item : call.owner->prompt) {
                append_prefix(prefixes, 1, item.id, static_cast<std::uint64_t>(item.tokens));
            }
            const std::uint64_t key = prefixes.front().key;
            count_prefix(sender.prefixes, 1, key, settings_.prefixes, now());
            const double share = prefix_share(sender.prefixes, 1, key, settings_.prefixes, now());
            request.cached_tokens = estimate_cached_tokens(
                sender.prefixes, candidates, prefixes,
                select_prefix_set(candidates, key, share, settings_.prefixes), request, retention, now());
        }
        const int chosen = choose_instance(candidates, request, settings_.costs, now());
        record_holder(sender.prefixes, prefixes,
                      hash_bytes(records_[static_cast<std::size_t>(chosen)].id.value), retention,
                      settings_.prefixes, now());
        return static_cast<std::size_t>(chosen);
    }

    /// Marks the prompt's parts as used. @return the tokens that were not cached.
    double read_prompt(engine& target, const running_call& call)
    {
        std::uint64_t key = 1;
        double unread = 0;
        bool cached = true;
        for (std::size_t i = 0; i < call.owner->prompt.size(); ++i) {
            const part& item = call.owner->prompt[i];
            key = hash_bytes(item.id, key);
            const auto found = target.cache.by_key.find(key);
            cached = cached && found != target.cache.by_key.end();
            if (!cached) {
                unread += item.tokens;
                result_.prefix_tokens_read += i == 0 ? item.tokens : 0;
            }
            if (found != target.cache.by_key.end()) {
                target.cache.newest_first.splice(target.cache.newest_first.begin(), target.cache.newest_first,
                                                 found->second);
            }
            else {
                target.cache.newest_first.emplace_front(key, item.tokens);
                target.cache.by_key[key] = target.cache.newest_first.begin();
                target.cache.tokens += item.tokens;
            }
        }
        result_.prompt_tokens_read += unread;
        while (target.cache.tokens > settings_.memory_tokens) {
            target.cache.tokens -= target.cache.newest_first.back().second;
            target.cache.by_key.erase(target.cache.newest_first.back().first);
            target.cache.newest_first.pop_back();
        }
        return unread;
    }

    void step(std::size_t index)
    {
        engine& target = engines_[index];
        while (!target.waiting.empty() && static_cast<double>(target.running.size()) < settings_.slots) {
            target.running.push_back(target.waiting.front());
            target.waiting.pop_front();
            target.running.back()->unread_tokens = read_prompt(target, *target.running.back());
        }
        target.stepping = !target.running.empty();
        if (!target.stepping) {
            return;
        }
        double chunk = chunk_tokens;
        std::vector<std::shared_ptr<running_call>> decoding;
        for (const std::shared_ptr<running_call>& call : target.running) {
            const double tokens = std::min(chunk, call->unread_tokens);
            if (call->unread_tokens <= tokens) {
                decoding.push_back(call);
            }
            call->unread_tokens -= tokens;
            chunk -= tokens;
        }
        const double step_ms = base_step_ms + step_ms_per_call * static_cast<double>(target.running.size()) +
                               (chunk_tokens - chunk) / settings_.prefill_tokens_per_ms;
        schedule(step_ms, [this, index, decoding] { finish_step(index, decoding); });
    }

    void finish_step(std::size_t index, const std::vector<std::shared_ptr<running_call>>& decoding)
    {
        engine& target = engines_[index];
        for (const std::shared_ptr<running_call>& call : decoding) {
            --call->output_left;
            if (call->output_left == output_tokens - tokens_per_event) {
                first_event_ms_.push_back(now_ms_ - call->sent_ms);
                call->first_event_at_ms = now_ms_;
            }
            if (call->output_left <= 0) {
                std::erase(target.running, call);
                finish_call(index, *call);
            }
        }
        step(index);
    }

    void finish_call(std::size_t index, const running_call& call)
    {
        end_ms_.push_back(now_ms_ - call.sent_ms);
        if (call.sent_ms < settings_.burst_start_s * 1000) {
            end_before_burst_ms_.push_back(end_ms_.back());
        }
        if (call.sent_ms >= (settings_.burst_end_s + settings_.recovery_s) * 1000 &&
            call.sent_ms < settings_.seconds * 1000) {
            end_after_burst_ms_.push_back(end_ms_.back());
        }
        instance_load& load = gateways_[call.gateway].loads[index];
        guavawick::load::call_timing timing;
        timing.first_event = from_seconds((call.first_event_at_ms - call.sent_ms) / 1000);
        timing.all_pauses = from_seconds((now_ms_ - call.first_event_at_ms) / 1000);
        timing.events = static_cast<std::uint64_t>(output_tokens / tokens_per_event);
        record_call(load.timing, gateways_[call.gateway].timing, timing, settings_.costs.speed, now());
        --load.own_running;
        load.reported_running = static_cast<std::uint32_t>(engines_[index].running.size());
        load.reported_waiting = static_cast<std::uint32_t>(engines_[index].waiting.size());
        load.own_running_at_report = load.own_running;
        load.reported_at = now();
        const std::shared_ptr<line> owner = call.owner;
        owner->prompt.push_back(make_part(output_tokens));
        if (owner->starts_agent && owner->turn == 1) {
            const auto agent = std::make_shared<line>(*owner);
            agent->starts_agent = false;
            agent->turns_left = 3;
            agent->random = next_random(owner->random);
            schedule(min_pause_ms, [this, agent] { send_turn(agent); });
        }
        ++owner->turn;
        if (--owner->turns_left > 0) {
            schedule(min_pause_ms + uniform(owner->random) * max_extra_pause_ms,
                     [this, owner] { send_turn(owner); });
        }
    }

    world_result summarise()
    {
        const auto mean = [](const std::vector<double>& values) {
            return std::accumulate(values.begin(), values.end(), 0.0) /
                   std::max(1.0, static_cast<double>(values.size()));
        };
        const auto p95 = [](std::vector<double>& values) {
            std::sort(values.begin(), values.end());
            return values[values.size() * 95 / 100];
        };
        result_.calls = end_ms_.size();
        result_.mean_first_event_ms = mean(first_event_ms_);
        result_.p95_first_event_ms = p95(first_event_ms_);
        result_.mean_end_ms = mean(end_ms_);
        result_.p95_end_ms = p95(end_ms_);
        result_.warm_share = warm_turns_ / std::max(1.0, later_turns_);
        result_.mean_end_before_burst_ms = mean(end_before_burst_ms_);
        result_.mean_end_after_burst_ms = mean(end_after_burst_ms_);
        return result_;
    }

    world_settings settings_;
    std::uint64_t random_;
    std::vector<engine> engines_;
    std::vector<gateway> gateways_;
    std::vector<directory::instance_record> records_;
    std::vector<double> popularity_; ///< cumulative
    std::priority_queue<event> events_;
    double now_ms_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t part_count_ = 0;
    std::uint64_t program_count_ = 0;
    std::vector<double> first_event_ms_;
    std::vector<double> end_ms_;
    std::vector<double> end_before_burst_ms_;
    std::vector<double> end_after_burst_ms_;
    double later_turns_ = 0;
    double warm_turns_ = 0;
    world_result result_;
};

} // namespace

world_result play(const world_settings& settings, std::uint64_t seed)
{
    return world(settings, seed).run();
}

} // namespace guavawick::tests
