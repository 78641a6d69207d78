Feature: Complete configurations with the operator's own version numbers

  Scenario: The highest version stays in force when a lower one arrives late
    Two operators send versions 7 and 9 to two coordinators at once, and a
    delayed version 8 arrives after them. All are acknowledged, because each is
    in force or superseded by a higher one; only version 9 may stay in force.
    Given three coordinators with gateways
    When versions 7 and 9 are sent at once and version 8 later
    Then all three versions are acknowledged
    And every node holds version 9 within 1 second

  Scenario: Different content sent with the version in force changes nothing
    An operator's tool sends different content with the version number that is
    in force. The request is acknowledged, since that version is in force, but
    the content is ignored.
    Given three coordinators with gateways
    When version 5 is in force and sent again with a key removed
    Then the request with different content is acknowledged
    And the key is still valid at every gateway

  Scenario: If two contents are sent under one version, the first acknowledged stays
    Two operators send different content with the same version number at the
    same time through two coordinators. Both are in the log before either is
    committed. The content acknowledged first must not be replaced.
    Given three coordinators with gateways
    When two operators send different content as version 11 at once
    Then the content acknowledged first stays in force

  Scenario: A resend to another node is acknowledged after the leader is lost
    The leader acknowledges a change and is killed before the response arrives.
    The operator sends the same change to another coordinator, which must
    acknowledge it, because the change is already committed.
    Given three coordinators with gateways
    When version 6 is acknowledged and its leader is killed
    Then another coordinator acknowledges version 6 within 3 seconds

  Scenario: A leader that is partitioned from the majority does not answer reads
    A leader is partitioned without an error. The others elect another leader,
    which accepts a newer configuration. The old leader must not answer a read
    with the older one that it holds; it must respond that none is known.
    Given three coordinators with gateways
    When the leader is partitioned and version 4 is acknowledged by the others
    Then a read at the old leader returns no version

  Scenario: A leader that was frozen does not answer a read with an old version
    A leader is frozen for 4 seconds. Replies of its voters wait in its buffers,
    so they look recent when it continues. Meanwhile another leader accepted
    version 8. A read right after the freeze must not get an older version.
    Given three coordinators with gateways
    When a read reaches the leader that was frozen while version 8 was acknowledged
    Then the read returns version 8 or none

  Scenario: A wiped disk does not revoke an acknowledged version
    Version 9 is acknowledged and synced to at least two disks. The leader
    loses its disk at the same moment as the others lose power. The coordinator
    that restarts empty must not vote until the others have admitted it.
    Given three coordinators with gateways
    When version 9 is acknowledged, its leader wiped and all others restarted
    Then a read returns version 9 within 6 seconds
    And the wiped coordinator votes again within 10 seconds

  Scenario: Coordinators answer reads soon after all of them were killed at once
    After the restart there is no leader, and new gateways are not served
    without a leader. Voters that have just started must not wait long for a
    leader that might exist.
    Given three coordinators with gateways
    When all coordinators are killed and started again
    Then a read returns version 1 within 0.8 seconds

  Scenario: A coordinator whose VM is gone for good is removed from the voters
    A coordinator's VM is gone for good and an empty one starts at another
    address. If the old coordinator stayed a voter, one more loss would stop
    changes.
    Given three coordinators with gateways
    When a coordinator is replaced by an empty one with another name
    Then the voters are the three live coordinators within 20 seconds
    And changes are still acknowledged after the loss of one voter

  Scenario: A voter that was removed while it was frozen votes again
    One of two coordinators of a zone is frozen for seven seconds. The leader
    removes it, since the zone's other coordinator is reachable, and sends it
    nothing more. Its own log still lists it as a voter, and after the freeze
    it gets no replies. Without rejoining, its zone's gateways would keep the
    configuration from before the freeze.
    Given six coordinators with 24 gateways
    When a coordinator is removed while it is frozen and then unfrozen
    Then the coordinator votes again with the newest version within 6 seconds

  Scenario: A gateway does not start with an outdated configuration
    A coordinator that was partitioned holds an old configuration and reports
    that it is behind. A gateway that starts gets this coordinator's update
    first. With the old configuration the gateway would accept a revoked key,
    so it waits for an up-to-date configuration.
    Given three coordinators with gateways
    When a gateway starts while its zone's coordinator is behind
    Then the first version that the gateway holds is the newest
