Feature: Whole configurations under the operator's own version

  Scenario: The highest version wins, whatever comes late
    Two operators send versions 7 and 9 to two coordinators at once, and a
    delayed version 8 arrives after them. All are acknowledged, because each
    lasts or was overtaken; only version 9 stays in force anywhere.
    Given three coordinators with gateways
    When versions 7 and 9 are sent at once and version 8 later
    Then all three are acknowledged
    And every node holds version 9 within 1 second

  Scenario: Other content under the version held changes nothing
    An operator's tool sends different content under a number that is in
    force. It is acknowledged, since that version lasts, and nothing changes.
    Given three coordinators with gateways
    When version 5 is in force and sent again with a key taken away
    Then it is acknowledged
    And the key is still valid at every gateway

  Scenario: Of two contents under one number, the first one stays
    Two operators send different content under the same number at the same
    moment, through two coordinators. Both are in the log before either is
    committed. Whichever is acknowledged first must not be replaced.
    Given three coordinators with gateways
    When two operators send different content as version 11 at once
    Then what the first acknowledgement put in force stays

  Scenario: A resend to another node is acknowledged after the leader is lost
    The leader acknowledges a change and dies before the answer arrives. The
    operator sends the same to another coordinator, which is in no position
    to refuse it: the change is committed already.
    Given three coordinators with gateways
    When version 6 is acknowledged and its leader is killed
    Then another coordinator acknowledges version 6 within 3 seconds

  Scenario: A coordinator in the minority does not answer reads
    A leader is cut off without a word. The others elect another one and take
    over a newer configuration. Asked for the newest one, the old leader would
    give the one it holds; it must say that it does not know.
    Given three coordinators with gateways
    When the leader is cut off and version 4 is acknowledged by the others
    Then a read at the old leader gives no version

  Scenario: A leader that was frozen does not answer reads from the past
    A leader is frozen for 4 seconds. Answers of its voters wait in its
    buffers, and when it wakes they look fresh. Meanwhile another leader took
    over version 8. The read that comes right after it wakes gets no old one.
    Given three coordinators with gateways
    When the leader is frozen while version 8 is acknowledged, and then read
    Then the read gives version 8 or none

  Scenario: A wiped disk takes back nothing
    Version 9 is acknowledged and synced by two disks at least. Its leader
    loses its disk at the same moment as the others lose power. The one that
    comes back empty must not vote until the others have taken it in.
    Given three coordinators with gateways
    When version 9 is acknowledged, its leader wiped and all others restarted
    Then a read gives version 9 within 6 seconds
    And the wiped coordinator votes again within 10 seconds

  Scenario: After all coordinators were killed at once they answer soon
    Nobody leads, and nobody serves new gateways before somebody does. Voters
    that have just started need not wait for a leader that might be there.
    Given three coordinators with gateways
    When all coordinators are killed and started again
    Then a read gives version 1 within 0.8 seconds

  Scenario: A replaced coordinator's old voter gives way
    A VM of the core is gone for good and an empty one comes at another
    address. If the old one stayed a voter, one more loss would stop changes.
    Given three coordinators with gateways
    When a coordinator is replaced by an empty one with another name
    Then the voters are the three that live within 20 seconds
    And changes are still acknowledged with one of them lost

  Scenario: A voter that was removed while it was frozen comes back
    One of two coordinators of a zone is frozen for seven seconds. The leader
    removes it, since the other one stands in for it, and sends it nothing any
    more. It wakes and still believes that it votes; nobody answers. Its zone's
    gateways would hold the configuration of that time.
    Given six coordinators with 24 gateways
    When a coordinator is removed while it is frozen, and wakes
    Then it votes again and holds the newest version within 6 seconds

  Scenario: A gateway that starts beside a coordinator that is behind waits
    A coordinator that was cut off holds an old configuration, and says so. A
    gateway that starts hears it first. It would serve a revoked key; so it
    waits a moment for a coordinator that is up to date.
    Given three coordinators with gateways
    When a gateway starts while its zone's coordinator is behind
    Then the first version it holds is the newest
