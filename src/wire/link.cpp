// Drives the ZeroMQ sockets of a process from one thread.
#include "wire/link_type.hpp"

#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "wire.pb.h"

#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.hpp>

#include <atomic>
#include <deque>
#include <mutex>
#include <set>
#include <thread>
#include <unordered_map>

namespace guavawick::wire {

namespace asio = boost::asio;
using reply_channel = asio::experimental::concurrent_channel<void(boost::system::error_code, envelope_ptr)>;

namespace {

constexpr std::size_t reply_capacity = 1U << 16U; ///< replies that wait for a slow reader of one stream
constexpr duration poll_interval = 50ms;          ///< how often deadlines are looked at
constexpr duration ping_interval = 250ms;
constexpr duration first_resend = 2s;
constexpr duration most_resend = 16s;
constexpr duration idle_peer_limit = 120s; ///< an unused connection is closed after this
constexpr int linger_ms = 300; ///< a stopping process waits this long for its last messages to leave
constexpr int connect_timeout_ms =
    500; ///< an instance without power does not even refuse; it may be back at once
constexpr int queue_limit = 200000; ///< messages that wait for one connection

} // namespace

/// A call that waits for replies.
struct pending_call {
    pending_call(const asio::any_io_executor& pool) : replies(pool, reply_capacity) {}

    std::uint64_t id = 0;
    std::string endpoint;
    std::string bytes; ///< the serialised request, for sending it again
    time_point deadline{};
    time_point resend_at{};
    duration resend_step = first_resend;
    duration notice_step{}; ///< zero: no idle notices
    time_point notice_at{};
    reply_channel replies;
};

namespace {

/// One outgoing connection; used by the link's thread only.
struct peer_connection {
    zmq::socket_t socket;
    time_point heard_at{};
    time_point pinged_at{};
    time_point used_at{};
    std::uint64_t incarnation = 0; ///< the peer's, 0 until it answered
};

/// Something another thread asks the link's thread to do.
struct link_order {
    std::string endpoint; ///< where to send, or
    std::string identity; ///< whom to reply
    std::string bytes;
    std::shared_ptr<pending_call> call; ///< a call to start
};

} // namespace

/// Shared by the link and its streams. Lock order: `mutex` is a leaf.
struct link_core {
    link_core(asio::any_io_executor executor, const link_settings& keys, incarnation_id own)
        : pool(std::move(executor)), settings(keys), own_incarnation(own),
          wake_fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
    }

    ~link_core() { close(wake_fd); }

    asio::any_io_executor pool;
    link_settings settings;
    incarnation_id own_incarnation;
    int wake_fd;
    zmq::context_t context{1};
    mutable std::mutex mutex; ///< guards the next five
    std::deque<link_order> orders;
    std::unordered_map<std::uint64_t, std::shared_ptr<pending_call>> calls;
    std::unordered_map<std::string, time_point> heard; ///< by endpoint: last sign of life
    std::optional<zmq::socket_t> fresh_router;
    bool stopping = false;
    receive_handler handler; ///< set before the router exists
    std::atomic<std::uint64_t> next_call{1};
    std::atomic<std::uint64_t> reconnect_count{0};
    std::thread thread;

    // Used by the link's thread only.
    std::unordered_map<std::string, peer_connection> peers;
    std::optional<zmq::socket_t> router;

    void push(link_order order)
    {
        {
            const std::lock_guard lock(mutex);
            orders.push_back(std::move(order));
        }
        wake();
    }

    void wake() const
    {
        const std::uint64_t one = 1;
        [[maybe_unused]] const ssize_t written = write(wake_fd, &one, sizeof one);
    }

    void forget(std::uint64_t id)
    {
        const std::lock_guard lock(mutex);
        calls.erase(id);
    }

    void apply_keys(zmq::socket_t& socket) const
    {
        if (settings.server_key.empty()) {
            return;
        }
        socket.set(zmq::sockopt::curve_serverkey, settings.server_key);
        socket.set(zmq::sockopt::curve_publickey, settings.public_key);
        socket.set(zmq::sockopt::curve_secretkey, settings.secret_key);
    }

    peer_connection make_connection(const std::string& endpoint, time_point now)
    {
        peer_connection made;
        made.socket = zmq::socket_t(context, zmq::socket_type::dealer);
        made.socket.set(zmq::sockopt::linger, linger_ms);
        made.socket.set(zmq::sockopt::sndhwm, queue_limit);
        made.socket.set(zmq::sockopt::rcvhwm, queue_limit);
        made.socket.set(zmq::sockopt::reconnect_ivl, 50);
        made.socket.set(zmq::sockopt::reconnect_ivl_max, 500);
        made.socket.set(zmq::sockopt::connect_timeout, connect_timeout_ms);
        apply_keys(made.socket);
        made.socket.connect(endpoint);
        made.heard_at = now;
        made.used_at = now;
        return made;
    }

    peer_connection* find_peer(const std::string& endpoint, time_point now)
    {
        const auto found = peers.find(endpoint);
        if (found != peers.end()) {
            return &found->second;
        }
        try {
            note_heard(endpoint, now); // it gets its time to answer
            return &peers.emplace(endpoint, make_connection(endpoint, now)).first->second;
        }
        catch (const zmq::error_t&) {
            return nullptr; // the endpoint is no address; the call ends at its deadline
        }
    }

    void send_to(const std::string& endpoint, const std::string& bytes, time_point now)
    {
        peer_connection* peer = find_peer(endpoint, now);
        if (peer == nullptr) {
            return;
        }
        peer->used_at = now;
        peer->socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
    }

    void carry_out(link_order& order, time_point now)
    {
        if (!order.identity.empty()) {
            if (router) {
                const auto sent = router->send(zmq::buffer(order.identity),
                                               zmq::send_flags::sndmore | zmq::send_flags::dontwait);
                if (sent) {
                    router->send(zmq::buffer(order.bytes), zmq::send_flags::dontwait);
                }
            }
            return;
        }
        if (order.call) {
            order.call->resend_at = now + order.call->resend_step;
            send_to(order.endpoint, order.call->bytes, now);
            return;
        }
        send_to(order.endpoint, order.bytes, now);
    }

    void take_orders(time_point now)
    {
        std::uint64_t count = 0;
        [[maybe_unused]] const ssize_t got = read(wake_fd, &count, sizeof count);
        std::deque<link_order> taken;
        {
            const std::lock_guard lock(mutex);
            taken.swap(orders);
            if (fresh_router) {
                router = std::move(fresh_router);
                fresh_router.reset();
            }
        }
        for (link_order& order : taken) {
            carry_out(order, now);
        }
    }

    void note_heard(const std::string& endpoint, time_point now)
    {
        const std::lock_guard lock(mutex);
        heard[endpoint] = now;
    }

    void forget_heard(const std::string& endpoint)
    {
        const std::lock_guard lock(mutex);
        heard.erase(endpoint);
    }

    void deliver(const envelope_ptr& message)
    {
        std::shared_ptr<pending_call> call;
        {
            const std::lock_guard lock(mutex);
            const auto found = calls.find(message->call());
            if (found == calls.end()) {
                return;
            }
            call = found->second;
        }
        call->replies.try_send(boost::system::error_code{}, message);
    }

    void resend_calls(const std::string& endpoint, time_point now)
    {
        std::vector<std::shared_ptr<pending_call>> waiting;
        {
            const std::lock_guard lock(mutex);
            for (const auto& [id, call] : calls) {
                if (call->endpoint == endpoint) {
                    waiting.push_back(call);
                }
            }
        }
        for (const auto& call : waiting) {
            send_to(endpoint, call->bytes, now);
        }
    }

    void receive_replies(const std::string& endpoint, peer_connection& peer, time_point now)
    {
        zmq::message_t frame;
        while (peer.socket.recv(frame, zmq::recv_flags::dontwait)) {
            auto message = std::make_shared<envelope>();
            if (!message->ParseFromArray(frame.data(), static_cast<int>(frame.size()))) {
                log_event(event::link_refused_peer, {{"endpoint", endpoint}, {"reason", "undecodable"}});
                continue;
            }
            peer.heard_at = now;
            note_heard(endpoint, now);
            const bool restarted = peer.incarnation != 0 && peer.incarnation != message->sender();
            peer.incarnation = message->sender();
            if (restarted) {
                resend_calls(endpoint, now);
            }
            if (!message->has_heartbeat_reply()) {
                deliver(message);
            }
        }
    }

    void receive_requests()
    {
        zmq::message_t identity;
        zmq::message_t frame;
        while (router && router->recv(identity, zmq::recv_flags::dontwait)) {
            if (!router->recv(frame, zmq::recv_flags::none)) {
                return;
            }
            const bool more = frame.more();
            while (more && router->recv(identity, zmq::recv_flags::none) && identity.more()) {
            }
            auto message = std::make_shared<envelope>();
            if (more || !message->ParseFromArray(frame.data(), static_cast<int>(frame.size()))) {
                log_event(event::link_refused_peer, {{"reason", "undecodable"}});
                continue;
            }
            dispatch({identity.to_string(), message->call()}, message);
        }
    }

    void dispatch(const reply_target& from, const envelope_ptr& message)
    {
        if (message->has_heartbeat()) {
            envelope answer;
            answer.set_sender(own_incarnation.value);
            answer.mutable_heartbeat_reply();
            link_order order;
            order.identity = from.identity;
            order.bytes = answer.SerializeAsString();
            carry_out(order, runtime_clock::now());
            return;
        }
        asio::post(pool, [call = handler, from, message] { call(from, message); });
    }

    void ping_peers(time_point now)
    {
        envelope question;
        question.set_sender(own_incarnation.value);
        question.mutable_heartbeat();
        const std::string bytes = question.SerializeAsString();
        std::vector<std::string> silent;
        for (auto entry = peers.begin(); entry != peers.end();) {
            peer_connection& peer = entry->second;
            if (now - peer.used_at > idle_peer_limit) {
                forget_heard(entry->first);
                entry = peers.erase(entry);
                continue;
            }
            if (now - peer.heard_at > settings.silence_limit) {
                silent.push_back(entry->first);
            }
            else if (now - peer.pinged_at >= ping_interval) {
                peer.pinged_at = now;
                peer.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
            }
            ++entry;
        }
        for (const std::string& endpoint : silent) {
            reopen(endpoint, now);
        }
    }

    void reopen(const std::string& endpoint, time_point now)
    {
        peer_connection& old = peers.at(endpoint);
        const time_point used_at = old.used_at;
        if (old.incarnation != 0) {
            log_event(event::link_silent, {{"endpoint", endpoint}});
        }
        old.socket.set(zmq::sockopt::linger, 0);
        peers.erase(endpoint);
        reconnect_count.fetch_add(1);
        peer_connection& fresh = peers.emplace(endpoint, make_connection(endpoint, now)).first->second;
        resend_calls(endpoint, now);
        fresh.used_at = used_at; // sending again is no new use
    }

    void check_calls(time_point now)
    {
        std::vector<std::shared_ptr<pending_call>> late;
        std::vector<std::shared_ptr<pending_call>> again;
        std::vector<std::shared_ptr<pending_call>> noticed;
        {
            const std::lock_guard lock(mutex);
            for (auto entry = calls.begin(); entry != calls.end();) {
                const auto& call = entry->second;
                if (now >= call->deadline) {
                    late.push_back(call);
                    entry = calls.erase(entry);
                    continue;
                }
                if (call->notice_step != duration{} && now >= call->notice_at) {
                    call->notice_at = now + call->notice_step;
                    noticed.push_back(call);
                }
                if (now >= call->resend_at && call->resend_at != time_point{}) {
                    again.push_back(call);
                }
                ++entry;
            }
        }
        for (const auto& call : late) {
            call->replies.try_send(boost::system::error_code{}, nullptr);
        }
        static const envelope_ptr notice = std::make_shared<envelope>();
        for (const auto& call : noticed) {
            call->replies.try_send(boost::system::error_code{}, notice);
        }
        for (const auto& call : again) {
            call->resend_step = std::min(call->resend_step * 2, duration{most_resend});
            call->resend_at = now + call->resend_step;
            send_to(call->endpoint, call->bytes, now);
        }
    }

    void run()
    {
        time_point checked_at = runtime_clock::now();
        while (true) {
            std::vector<zmq::pollitem_t> items;
            std::vector<const std::string*> endpoints;
            items.push_back({nullptr, wake_fd, ZMQ_POLLIN, 0});
            if (router) {
                items.push_back({router->handle(), 0, ZMQ_POLLIN, 0});
            }
            const std::size_t first_peer = items.size();
            for (auto& [endpoint, peer] : peers) {
                items.push_back({peer.socket.handle(), 0, ZMQ_POLLIN, 0});
                endpoints.push_back(&endpoint);
            }
            zmq::poll(items, std::chrono::milliseconds(to_ms(poll_interval)));
            const time_point now = runtime_clock::now();
            for (std::size_t i = first_peer; i < items.size(); ++i) {
                if ((items[i].revents & ZMQ_POLLIN) != 0) {
                    const std::string& endpoint = *endpoints[i - first_peer];
                    receive_replies(endpoint, peers.at(endpoint), now);
                }
            }
            receive_requests();
            take_orders(now);
            if (now - checked_at >= poll_interval) {
                checked_at = now;
                check_calls(now);
                ping_peers(now);
            }
            const std::lock_guard lock(mutex);
            if (stopping && orders.empty()) {
                return;
            }
        }
    }

    /// Lets in only peers whose public key is listed.
    void authenticate()
    {
        zmq::socket_t socket(context, zmq::socket_type::rep);
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::rcvtimeo, 100);
        socket.bind("inproc://zeromq.zap.01");
        authenticator_ready.store(true);
        while (!authenticator_stop.load()) {
            answer_authentication(socket);
        }
    }

    void answer_authentication(zmq::socket_t& socket) const
    {
        std::vector<std::string> frames;
        zmq::message_t frame;
        do {
            if (!socket.recv(frame)) {
                return;
            }
            frames.push_back(frame.to_string());
        } while (frame.more());
        constexpr std::size_t key_frame = 6;
        constexpr std::size_t request_frame = 1;
        bool allowed = false;
        if (frames.size() > key_frame) {
            std::array<char, 41> text{};
            zmq_z85_encode(text.data(), reinterpret_cast<const std::uint8_t*>(frames[key_frame].data()),
                           frames[key_frame].size());
            for (const std::string& key : settings.allowed_keys) {
                allowed = allowed || equal_in_constant_time(key, text.data());
            }
        }
        const std::string request = frames.size() > request_frame ? frames[request_frame] : "";
        const std::vector<std::string> answer{
            "1.0", request, allowed ? "200" : "400", allowed ? "OK" : "unknown key", "", ""};
        for (std::size_t i = 0; i < answer.size(); ++i) {
            socket.send(zmq::buffer(answer[i]),
                        i + 1 < answer.size() ? zmq::send_flags::sndmore : zmq::send_flags::none);
        }
    }

    std::atomic<bool> authenticator_ready{false};
    std::atomic<bool> authenticator_stop{false};
    std::thread authenticator;
};

reply_stream::reply_stream(std::shared_ptr<pending_call> call, std::shared_ptr<link_core> core)
    : call_(std::move(call)), core_(std::move(core))
{
}

reply_stream::~reply_stream()
{
    core_->forget(call_->id);
}

asio::awaitable<envelope_ptr> reply_stream::next()
{
    co_return co_await call_->replies.async_receive(asio::use_awaitable);
}

link::link(asio::any_io_executor pool, const link_settings& settings, incarnation_id own_incarnation)
    : core_(std::make_shared<link_core>(std::move(pool), settings, own_incarnation))
{
    if (!settings.server_key.empty()) {
        core_->authenticator = std::thread([core = core_.get()] { core->authenticate(); });
        while (!core_->authenticator_ready.load()) {
            std::this_thread::yield();
        }
    }
    core_->thread = std::thread([core = core_.get()] { core->run(); });
}

link::~link()
{
    close();
}

void link::close()
{
    if (!core_->thread.joinable()) {
        return;
    }
    {
        const std::lock_guard lock(core_->mutex);
        core_->stopping = true;
    }
    core_->wake();
    core_->thread.join();
    core_->authenticator_stop.store(true);
    if (core_->authenticator.joinable()) {
        core_->authenticator.join();
    }
    core_->peers.clear();
    core_->router.reset();
}

void link::listen(const std::string& endpoint, receive_handler handler)
{
    core_->handler = std::move(handler);
    zmq::socket_t socket(core_->context, zmq::socket_type::router);
    socket.set(zmq::sockopt::linger, linger_ms);
    socket.set(zmq::sockopt::sndhwm, queue_limit);
    socket.set(zmq::sockopt::rcvhwm, queue_limit);
    if (!core_->settings.server_key.empty()) {
        socket.set(zmq::sockopt::curve_server, true);
        socket.set(zmq::sockopt::curve_publickey, core_->settings.public_key);
        socket.set(zmq::sockopt::curve_secretkey, core_->settings.secret_key);
    }
    try {
        socket.bind(endpoint);
    }
    catch (const zmq::error_t& fault) {
        throw link_error(endpoint + " can't be listened at: " + fault.what());
    }
    {
        const std::lock_guard lock(core_->mutex);
        core_->fresh_router = std::move(socket);
    }
    core_->wake();
}

void link::send(const std::string& endpoint, envelope message)
{
    message.set_sender(core_->own_incarnation.value);
    link_order order;
    order.endpoint = endpoint;
    order.bytes = message.SerializeAsString();
    core_->push(std::move(order));
}

std::unique_ptr<reply_stream> link::open_stream(const std::string& endpoint, envelope message, duration limit,
                                                duration idle_notice)
{
    auto call = std::make_shared<pending_call>(core_->pool);
    call->id = core_->next_call.fetch_add(1);
    call->endpoint = endpoint;
    call->deadline = runtime_clock::now() + limit;
    call->notice_step = idle_notice;
    call->notice_at = runtime_clock::now() + idle_notice;
    message.set_call(call->id);
    message.set_sender(core_->own_incarnation.value);
    call->bytes = message.SerializeAsString();
    {
        const std::lock_guard lock(core_->mutex);
        core_->calls.emplace(call->id, call);
    }
    link_order order;
    order.endpoint = endpoint;
    order.call = call;
    core_->push(std::move(order));
    return std::make_unique<reply_stream>(std::move(call), core_);
}

asio::awaitable<envelope_ptr> link::call(std::string endpoint, envelope message, duration limit)
{
    const std::unique_ptr<reply_stream> stream = open_stream(endpoint, std::move(message), limit);
    envelope_ptr answer = co_await stream->next();
    if (!answer) {
        throw link_error(endpoint + " gave no answer in time");
    }
    co_return answer;
}

void link::reply(const reply_target& to, envelope message)
{
    message.set_call(to.call);
    message.set_sender(core_->own_incarnation.value);
    link_order order;
    order.identity = to.identity;
    order.bytes = message.SerializeAsString();
    core_->push(std::move(order));
}

incarnation_id link::own_incarnation() const
{
    return core_->own_incarnation;
}

bool link::active_within(const std::string& endpoint, duration span) const
{
    const std::lock_guard lock(core_->mutex);
    const auto found = core_->heard.find(endpoint);
    return found == core_->heard.end() || runtime_clock::now() - found->second <= span;
}

std::uint64_t link::reconnect_count() const
{
    return core_->reconnect_count.load();
}

} // namespace guavawick::wire
