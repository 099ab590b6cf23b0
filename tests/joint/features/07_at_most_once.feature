Feature: A non-idempotent request runs at most once
  Scenario: Answers to orders are lost
    Given a mesh of two halves in two regions
    And 20 percent of the answers between nodes are lost
    When callers place orders for 60 seconds
    Then no order was run twice
