Feature: Use of the reducers as a library

  Scenario: The example of the documentation runs
    Then the example of docs/how-to/embed.md is examples/embed.py, has at most 30 lines, and runs

  Scenario: The reducers do not import the dependencies of the daemons
    A program can use the reducers where only attrs and returns are installed.
    Then the reducers import without any other library
