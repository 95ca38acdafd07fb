// Foundation of the control group by its seeds.
#include "small_fleet.hpp"

#include <algorithm>

namespace guavawick::tests {

namespace {

constexpr std::size_t seed_count = 3;
constexpr int max_publications = 6; ///< of a document that nobody acknowledges

/// Three blank control replicas. The first seed, which founds the group, ended before it had done so, and
/// started again without the setting of a system that starts for the first time.
struct seeds_whose_first_one_started_again {
    fs::path data_root = fs::temp_directory_path() / ("guavawick-test-" + to_hex(random_id()));
    runtime::worker_pool pool{2};
    std::vector<std::unique_ptr<core::control_process>> controls;

    seeds_whose_first_one_started_again()
    {
        core::fleet_settings settings;
        settings.data_centre_count = seed_count;
        while (settings.seeds.size() < seed_count) {
            settings.seeds.push_back("tcp://" + find_free_address());
        }
        std::sort(settings.seeds.begin(), settings.seeds.end());
        for (std::size_t i = 0; i < seed_count; ++i) {
            settings.node = "node-" + std::to_string(i);
            settings.data_centre = std::to_string(i);
            settings.link = settings.seeds[i];
            settings.data_folder = (data_root / settings.node).string();
            settings.bootstrap = i > 0;
            controls.push_back(std::make_unique<core::control_process>(settings, pool));
            controls.back()->start([](http::request&, http::responder& out) -> asio::awaitable<void> {
                http::response response = http::make_response(200, "text/plain", "");
                co_await out.send(std::move(response));
            });
        }
    }

    ~seeds_whose_first_one_started_again()
    {
        for (const auto& control : controls) {
            control->stop();
        }
        pool.stop();
        for (const auto& control : controls) {
            control->close();
        }
        controls.clear();
        fs::remove_all(data_root);
    }

    bool publish()
    {
        for (int i = 0; i < max_publications; ++i) {
            try {
                asio::co_spawn(pool.executor(), controls.back()->publish({1, "1"}), asio::use_future).get();
                return true;
            }
            catch (const error& failure) {
                BOOST_TEST_MESSAGE(failure.what());
            }
        }
        return false;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(control_founding_test)

// Guards against a group that is never founded because the first seed ended before it had founded it.
BOOST_FIXTURE_TEST_CASE(group_is_founded_by_another_seed, seeds_whose_first_one_started_again)
{
    BOOST_TEST(publish());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
