// Replies of a replica that does not lead its group.
#pragma once

#include "wire.pb.h"

namespace guavawick::replica {

class group;

/// @return a reply that redirects the client to the group's leader; without a leader it says what this
/// replica knows of the group. The endpoint is empty if no leader is known or this replica leads itself.
/// @pre called on the group's thread.
wire::envelope make_redirect(const group& from);

} // namespace guavawick::replica
