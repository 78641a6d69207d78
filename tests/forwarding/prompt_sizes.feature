Feature: Sizes of prompts are kept as far as they are of use

  Scenario: Requests for models that no service has leave nothing behind
    When 1000 requests come, each for another model
    Then sizes of prompts are kept for 1 model at most

  Scenario: A prompt of any announced size counts as no more than fits a replica
    When a request announces a prompt of 1000000000 tokens
    Then its model's largest prompt is what fits a replica
