Feature: What nodes remember of requests that end servers

  Scenario: Two lost servers are no proof
    Given a ledger
    When 2 servers end under a content
    Then it is not blocked

  Scenario: The same server is counted once, however often it is told
    Each gateway tells each lost run twice, and coordinators tell each other.
    Given a ledger
    When a server that ended under a content is told 5 times
    Then it is not blocked

  Scenario: A server that starts again under its id counts again
    Given a ledger
    When 3 lives of one server end under a content
    Then it is blocked

  Scenario: A connection that breaks is no crash
    Replicas that fail part of their requests close connections and live on.
    Given a ledger
    When 9 runs of a content are lost at servers that live on
    Then it is not blocked
    And after 31 seconds nothing of it is kept

  Scenario: A block ends by itself
    Given a ledger
    When 3 servers end under a content
    Then it is blocked for 900 seconds
    And after 901 seconds nothing of it is kept

  Scenario: A block is not prolonged by nodes that tell it again
    A coordinator restarts again and again with what its disk holds, and the
    ages there are those of the time when it was saved.
    Given a ledger
    When 3 servers end under a content
    And a node tells all of it each 100 seconds with the ages it saved
    Then after 901 seconds nothing of it is kept

  Scenario: Nodes that were told in another order know the same
    Given 3 ledgers that were told parts of 40 lost runs, mixed up
    When they tell each other everything
    Then their hashes are equal, and so is what they block

  Scenario: A content that was answered is not blamed any more
    Given a ledger
    When 3 servers end under a content
    And it is answered whole at some gateway
    Then it is not blocked
    And what was told of it before does not come back

  Scenario: A content that was cleared and then ends servers is blocked again
    Given a ledger
    When it is answered whole at some gateway
    And 3 servers end under a content
    Then it is blocked

  Scenario: The memory is bounded, and keeps what ended several servers
    A zone is lost: each of many requests loses one server. What is known of the
    request that ended three is kept.
    Given a ledger
    When 3 servers end under a content
    And 10000 other contents lose a server each
    Then it is blocked
    And 4096 lost runs are kept, in less than 4 MB
