// Placement by shared prompt prefix, and the load under which it matters.
#include "engine_world.hpp"

#include "base/hash_func.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

namespace guavawick::tests {

using namespace placing;

namespace {

/// Twelve engines in three data centres, and a prompt that begins with a shared prefix.
struct twelve_engines {
    std::vector<directory::instance_record> records{12};
    std::vector<instance_load> loads{12};
    std::vector<candidate> candidates;
    std::vector<prompt_prefix> prompt;
    prefix_memory memory;
    prefix_settings settings;
    placement_request request;
    duration retention = 4s;
    time_point now{1h};

    twelve_engines()
    {
        for (std::size_t i = 0; i < records.size(); ++i) {
            records[i].id = directory::instance_id{"i" + std::to_string(i)};
            records[i].data_centre = data_centre_name{"dc" + std::to_string(i % 3)};
            records[i].slots = 48;
            candidates.push_back({&records[i], &loads[i]});
        }
        append_prefix(prompt, 1, "shared", 2560);
        append_prefix(prompt, 1, "own", 514);
        request.model = true;
        request.affinity_key = "program";
        request.prompt_tokens = 3074;
        request.own_data_centre = data_centre_name{"dc1"};
    }

    std::size_t choose(double share = 0.02)
    {
        const std::vector<bool> members = select_prefix_set(candidates, prompt.front().key, share, settings);
        request.cached_tokens =
            estimate_cached_tokens(memory, candidates, prompt, members, request, retention, now);
        return static_cast<std::size_t>(choose_instance(candidates, request, placement_costs{}, now));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(prefix_test)

// Guards against sets that differ between gateways, which would spread a prefix over all engines.
BOOST_FIXTURE_TEST_CASE(larger_sets_contain_smaller_ones_in_each_data_centre, twelve_engines)
{
    std::vector<bool> smaller(candidates.size());
    for (const double share : {0.0, 0.1, 0.2, 0.5, 1.0}) {
        const std::vector<bool> set = select_prefix_set(candidates, prompt.front().key, share, settings);
        std::map<std::string, int> sizes;
        for (std::size_t i = 0; i < set.size(); ++i) {
            BOOST_TEST((set[i] || !smaller[i]));
            sizes[records[i].data_centre.value] += set[i] ? 1 : 0;
        }
        BOOST_TEST(sizes["dc0"] >= 1);
        BOOST_TEST(sizes["dc0"] == sizes["dc1"]);
        BOOST_TEST(sizes["dc0"] == sizes["dc2"]);
        smaller = set;
    }
    BOOST_TEST((smaller == std::vector<bool>(candidates.size(), true)));
}

BOOST_FIXTURE_TEST_CASE(first_turns_go_to_the_set_in_their_data_centre_until_it_is_busier_than_a_prefill,
                        twelve_engines)
{
    const std::size_t member = choose();
    BOOST_TEST(records[member].data_centre.value == "dc1");
    for (int program = 0; program < 20; ++program) {
        request.affinity_key = "program-" + std::to_string(program);
        BOOST_TEST(choose() == member);
    }
    loads[member].own_running = 1;
    BOOST_TEST(choose() == member);
    loads[member].own_running = 20;
    BOOST_TEST(choose() != member);
}

// Guards against a prefix being read by yet another engine at each spill, and against beliefs that outlive
// the engine's cache.
BOOST_FIXTURE_TEST_CASE(engine_that_got_a_prompt_is_preferred_until_it_may_have_evicted_it, twelve_engines)
{
    const std::size_t member = choose();
    const std::size_t other = member == 1 ? 4 : 1; // in the same data centre
    record_holder(memory, prompt, hash_bytes(records[other].id.value), retention, settings, now);
    append_prefix(prompt, 1, "sub-agent", 1030);
    request.prompt_tokens += 1030;
    BOOST_TEST(choose() == other); // it has the whole prompt of the parent
    now += retention + 1ms;
    BOOST_TEST(choose() == member);
}

BOOST_FIXTURE_TEST_CASE(callers_with_a_new_prefix_in_each_call_do_not_fill_the_memory, twelve_engines)
{
    for (int i = 0; i < 20'000; ++i) {
        std::vector<prompt_prefix> unique;
        append_prefix(unique, 1, "p" + std::to_string(i), 100);
        count_prefix(memory, 1, unique.front().key, settings, now);
        record_holder(memory, unique, 7, retention, settings, now);
    }
    BOOST_TEST(memory.current.size() + memory.previous.size() <= 2 * settings.max_prefixes);
    BOOST_TEST(memory.popularity[1].by_prefix.size() <= 1024U);
}

// The load of the deployment "band" at its peak and beyond it: with a hash of the program, each engine reads
// each prefix again and again, which delays all callers. The play includes the first read of each prefix.
BOOST_AUTO_TEST_CASE(prefixes_are_read_less_often_and_callers_wait_no_longer)
{
    for (const double programs_per_s : {78.0, 100.0}) {
        world_settings settings;
        settings.programs_per_s = programs_per_s;
        const world_result by_program = play(settings, 7);
        settings.by_prefix = true;
        const world_result by_prefix = play(settings, 7);
        const auto print = [programs_per_s](const char* policy, const world_result& result) {
            BOOST_TEST_MESSAGE(policy << " at " << programs_per_s << " programs/s: tokens read per call "
                                      << result.prompt_tokens_read / static_cast<double>(result.calls)
                                      << ", of shared prefixes "
                                      << result.prefix_tokens_read / result.prompt_tokens_read
                                      << ", first event mean " << result.mean_first_event_ms << " ms, p95 "
                                      << result.p95_first_event_ms << " ms, end mean " << result.mean_end_ms
                                      << " ms, p95 " << result.p95_end_ms << " ms");
        };
        print("by program", by_program);
        print("by prefix", by_prefix);
        BOOST_TEST(by_prefix.calls == by_program.calls);
        BOOST_TEST(by_prefix.prefix_tokens_read < by_program.prefix_tokens_read / 2);
        BOOST_TEST(by_prefix.prompt_tokens_read < by_program.prompt_tokens_read);
        BOOST_TEST(by_prefix.mean_first_event_ms < by_program.mean_first_event_ms);
        BOOST_TEST(by_prefix.p95_first_event_ms <= by_program.p95_first_event_ms);
        BOOST_TEST(by_prefix.mean_end_ms < by_program.mean_end_ms);
        BOOST_TEST(by_prefix.p95_end_ms <= by_program.p95_end_ms);
    }
}

// In a burst, a turn that leaves its warm engine makes another engine read its history, which delays the
// calls of that engine's batch, so that further turns leave theirs: the overload outlasts the burst.
BOOST_AUTO_TEST_CASE(turns_stay_warm_in_a_burst_and_the_delay_falls_back_sooner_after_it)
{
    world_settings settings;
    settings.by_prefix = true;
    settings.programs_per_s = 75;
    settings.seconds = 24;
    settings.burst_factor = 2.3;
    settings.burst_start_s = 6;
    settings.burst_end_s = 12;
    const world_result charged = play(settings, 7);
    settings.costs.prefill_batch_share = 0;
    settings.costs.report_half_life = 1ms;
    settings.costs.unheard_load_share = 0;
    settings.costs.speed.pause_gain = 0;
    settings.costs.speed.first_event_gain = 0;
    const world_result uncharged = play(settings, 7);
    const auto print = [](const char* policy, const world_result& result) {
        BOOST_TEST_MESSAGE(policy << ": warm turns " << result.warm_share << ", tokens read per call "
                                  << result.prompt_tokens_read / static_cast<double>(result.calls)
                                  << ", end mean " << result.mean_end_ms << " ms, p95 " << result.p95_end_ms
                                  << " ms, before the burst " << result.mean_end_before_burst_ms
                                  << " ms, after it " << result.mean_end_after_burst_ms << " ms");
    };
    print("prefill charged for the batch, old reports used", charged);
    print("prefill charged once, old reports ignored, no speed learned", uncharged);
    BOOST_TEST(charged.calls == uncharged.calls);
    BOOST_TEST(charged.warm_share > 0.98);
    BOOST_TEST(charged.warm_share > uncharged.warm_share);
    BOOST_TEST(charged.prompt_tokens_read < uncharged.prompt_tokens_read * 0.9);
    BOOST_TEST(charged.p95_end_ms < uncharged.p95_end_ms * 0.5);
    BOOST_TEST(charged.mean_end_after_burst_ms < uncharged.mean_end_after_burst_ms * 0.6);
    BOOST_TEST(charged.mean_end_after_burst_ms < 2.5 * charged.mean_end_before_burst_ms);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
