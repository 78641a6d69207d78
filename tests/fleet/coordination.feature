Feature: Coordinators repair replica groups

  Scenario: A lost member is replaced by a standby
    The VM of a member crashes for good. Its group still accepts requests but
    completes none. Once the coordinator detects the crash, it closes the head.
    The survivors and a standby of the same domain serve again.
    Given three coordinators with gateways
    When a member of a group crashes
    Then as many groups serve as before within 5 seconds

  Scenario: A stall that a gateway reports shortens the repair
    A member crashes, and a gateway reports that all its streams from the group
    have stalled. The coordinator probes the members at once instead of after
    missed heartbeats.
    Given three coordinators with gateways
    When a member of a group crashes and a gateway reports the stall at once
    Then as many groups serve as before within 1.5 seconds

  Scenario: A head's refusal that names a faulty member shortens the repair
    The repair must not wait for missed heartbeats or stalled streams.
    Given three coordinators with gateways
    When a member of a group crashes and its head names it in a refusal
    Then as many groups serve as before within 1.5 seconds

  Scenario: A replica whose streams progress is not disbanded
    A head is partitioned from all coordinators, but gateways reach it. Its
    heartbeats stop and probes get no response, while its streams progress.
    Disbanding its group would abort requests that are being served.
    Given three coordinators with gateways
    When a head is partitioned from the coordinators while its streams progress
    Then its group still serves after 5 seconds

  Scenario: Every gateway is notified at once that a server is leaving
    A server reports that it is draining. Whichever coordinator receives the
    report, within 2 seconds no gateway may send new requests to the server.
    Given three coordinators with gateways
    When a member of a group reports that it is draining
    Then no gateway uses its group for requests after 0.1 seconds

  Scenario: Another coordinator repairs the groups of a zone that lost its coordinator
    A zone's own coordinator plans the groups of the zone. That coordinator is
    killed, and a member of one of these groups crashes after that.
    Given three coordinators with gateways
    When the coordinator of a zone is killed and then a member there crashes
    Then as many groups serve as before within 7 seconds

  Scenario: A restarted coordinator restores which models its standbys hold
    A standby holds a model in memory from a group that it left, which its own
    heartbeats do not report. Its coordinator restarts with an empty memory. If
    it treated the standby as empty, the next repair would wait for a full load.
    Given three coordinators with gateways
    When the coordinator of a zone restarts and then a member there crashes
    Then as many groups serve as before within 4 seconds

  Scenario: A restart of all coordinators does not disband working groups
    All coordinators are killed at once and restart within half a second. They
    start without records of servers, and heartbeats arrive one by one over the
    next second. A group must not count as broken while some members'
    heartbeats are missing.
    Given three coordinators with gateways
    When all coordinators are killed and started again
    Then every group serves all the time for 5 seconds

  Scenario: After a power loss gateways offer the replicas saved on disk
    Backend servers keep running, but no node has their states. Heartbeats
    arrive one by one over 1.2 seconds, and a group is complete only with the
    heartbeat of its last member. Until then gateways use the states that the
    coordinators persisted.
    Given three coordinators with gateways
    When all coordinators and gateways lose power and restart
    Then every gateway offers all replicas within 0.9 seconds

  Scenario: An Alive message does not make an older update look new
    One coordinator sends another an update about a server's change of group,
    which is delayed. An Alive message (heartbeats without changes) that was
    sent later arrives first. The old state must not get the new sequence
    number, or the change would be refused as old.
    Given three coordinators with gateways
    When an Alive message overtakes the update of a server's state
    Then the change of group is applied

  Scenario: A late heartbeat does not restore an ended incarnation
    A server crashed, and a server of another service took over its address. A
    heartbeat of the crashed server, delayed by a partition, arrives after that.
    Given three coordinators with gateways
    When a server's address is taken over and a heartbeat of that server is late
    Then the ended incarnation is gone at every gateway

  Scenario: A gateway is notified of a drain if its home coordinator is lost
    A gateway gets all updates from one coordinator, its home coordinator. That
    coordinator is killed; right after that a server of another zone reports
    that it is draining. No gateway may send requests to that server 2 seconds
    later.
    Given three coordinators with gateways
    When a gateway's home coordinator is killed, then a server in another zone drains
    Then no gateway sends requests to the draining server's group after 2 seconds

  Scenario: A gateway keeps its home coordinator after a pause of its own
    What the coordinator sent meanwhile has not been read yet. Another home
    coordinator would send the state of all servers again.
    Given three coordinators with gateways
    When the first tick of a gateway after a pause of 3 seconds precedes all messages
    Then the gateway keeps its home coordinator

  Scenario Outline: A late gateway sends no hellos as if it had lost its home coordinator
    Ticks come while messages of the late time still wait.
    Given three coordinators with gateways
    When a gateway is <late> seconds late, and the messages of that time are handled after its next <count> ticks
    Then the gateway keeps its home coordinator
    And all hellos of the gateway name the same home coordinator
    And the gateway sends the other coordinators at most one hello each

    Examples:
      | late | count |
      | 2    | 1     |
      | 2    | 2     |
      | 2    | 5     |
      | 10   | 2     |

  Scenario: A late gateway does not take its lateness for a lost leader
    Given three coordinators with gateways
    When a gateway whose home coordinator has just lost its leader is 2 seconds late
    Then the gateway keeps its home coordinator
    And all hellos of the gateway name the same home coordinator

  Scenario: A gateway replaces a lost home coordinator in time
    Given three coordinators with gateways
    When a gateway's home coordinator is killed while the gateway is on time
    Then the gateway has another home coordinator within 2 seconds

  Scenario: A late gateway replaces a home coordinator that was lost meanwhile
    Given three coordinators with gateways
    When a gateway's home coordinator is killed while the gateway is 2 seconds late
    Then the gateway has another home coordinator within 1.5 seconds

  Scenario: Gateways of a partitioned home coordinator get new configurations
    The home coordinator of a gateway is partitioned from the other
    coordinators, but not from its gateways, so it cannot send them a newer
    configuration. The other coordinators acknowledge a change. The gateways
    reach those coordinators and must apply the change.
    Given three coordinators with gateways
    When a coordinator is partitioned and the others acknowledge version 4
    Then every gateway holds version 4 within 3 seconds

  Scenario: Coordinators that know each other only from a third one connect
    The seeds name three of six coordinators. From those three, the others get
    each other's names and addresses. A message can be sent to a node's name
    only after a message from that node arrived, so the first hellos must go to
    the addresses.
    Given six coordinators with 24 gateways
    Then every coordinator lists all five others as alive

  Scenario: A gateway reaches a coordinator whose first reply was lost
    A gateway sends hellos to its seeds. One seed's reply is lost together with
    a connection to the process that had the seed's address before. From then on
    the gateway has that seed's name only from the other coordinators, but must
    still reach the seed.
    Given six coordinators with 24 gateways
    When a gateway starts and all first replies but one are lost
    Then the gateway receives messages from all six coordinators within 1 second

  Scenario: Coordinators without gateways of their own limit loads as well
    Loads from the weight store are not limited until callers are served. A
    gateway reports its requests only to its home coordinator. A second
    coordinator of the zone, the owner of half of its domains, would otherwise
    go on ordering loads without a limit.
    Given six coordinators with 24 gateways
    When a gateway reports requests to its home coordinator
    Then all six coordinators limit loads within 1 second, each to a sixth of the limit

  Scenario: A gateway replaces a home coordinator that is partitioned
    A home coordinator is partitioned from the other coordinators, but not from
    its gateways. A server of another zone then reports that it is draining, and
    the home coordinator gets no update. Within 2 seconds after the gateways had
    the time to detect the partition, no gateway may send requests to that
    server.
    Given three coordinators with gateways
    When a home coordinator is partitioned for 3 s, then a server in another zone drains
    Then no gateway sends requests to the draining server's group after 2 seconds

  Scenario: Updates to gateways do not grow with the number of coordinators
    If each of six coordinators sent every update to each gateway, a quiet
    gateway would receive 3.5 KB a second, and a group that forms would cost 6
    messages for each gateway and change. A node may spend 2 KB a second on
    control messages.
    Given six coordinators with 24 gateways
    When 10 seconds pass and a member is lost in each of the last 5
    Then a gateway transfers less than 1.5 KB a second in the quiet seconds
    And a gateway transfers less than 2 KB a second in the other seconds
    And each change reaches a gateway at most once

  Scenario: Gateways that start together get one table of servers
    A table made for each of them keeps a coordinator that is late from catching up.
    Given three coordinators with 8 gateways a zone
    When all gateways of a zone start at once
    Then each gets all servers, from at most 2 tables
