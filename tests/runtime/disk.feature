Feature: A process that cannot continue exits

  Scenario: A voter whose disk fails sends no more messages
    The disk refuses a write, so the voter's state in memory is not on disk. If
    it continued, it could acknowledge a change that is lost when it restarts.
    It sends nothing more and exits with the code for data folder errors.
    Given a voter whose disk refuses the next write
    When a vote is requested from the voter
    Then no vote is sent and the process ends with exit code 6
    And the voter replies to no later message

  Scenario: A process whose ticks have stopped exits
    The task that delivers ticks to the reducer fails. The process would still
    reply to messages, but renew no lease and detect no timeout. It exits with
    the error, so that other processes detect the failure.
    Given a voter whose disk refuses the next write
    When the voter's reducer fails on the next tick
    Then the process ends with that error
