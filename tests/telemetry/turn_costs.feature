Feature: The log tells what an event loop spends its time on

  Scenario: A loop that is late names the work that took the time
    Given an account of a loop's time
    When planning takes 0.3 s and 0.1 s, and a vote waits 0.2 s
    Then the line after 5 s names the work, its share and the wait
