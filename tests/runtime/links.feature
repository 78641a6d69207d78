Feature: Connections between the system's processes

  Scenario: A connection that silently loses all messages is replaced
    A middlebox between two processes drops the state of a connection: what is
    sent on it is lost without an error, while new connections work. As no
    acknowledgement arrives in time, the sender opens a new connection.
    Given a peer that ignores all data on its first connection
    When messages are sent to the peer until one arrives
    Then the messages arrive over a second connection

  Scenario: Messages for an unreachable peer use bounded memory
    A node is unreachable for long while messages to it are queued. Only the
    newest messages are kept, up to a limit; the protocols above resend dropped
    messages.
    When 5000 messages are sent to an unreachable peer
    Then at most 2000 of them are queued

  Scenario: A message that is too large does not end its connection
    The task of the connection once ended, and the node was sent nothing more.
    When a message larger than a frame and a small one are sent to a peer
    Then the small one arrives and the large one is reported

  Scenario: Small messages do not wait behind a large one
    Heartbeats behind a configuration of some MB once cost a leader its role.
    When a large message and a small one are sent to a peer that reads slowly
    Then the small one arrives first

  Scenario: Messages for a node that reads nothing use bounded memory
    Large messages are limited by their bytes, not by their number.
    When 100 messages of 1 MB are sent to an unreachable peer
    Then at most 16 MB of them are queued

  Scenario: A task that fails is reported and starts again
    Nothing once noticed the end of a task that must keep running.
    When a task that must keep running fails once
    Then its failure is reported with its place and it runs again

  Scenario: An error of a callback or a forgotten task is reported
    When a callback fails that nothing waits for
    Then its failure is reported with its place

  Scenario: A message for many nodes is encoded once, also among others
    Encoding a table for each gateway once kept late coordinators from catching up.
    When two messages are sent to 20 nodes by turns
    Then 2 messages were encoded

  Scenario: Encoded messages use bounded memory
    When 10 messages of 600 KB are sent
    Then at most 1 MB of them is kept encoded
