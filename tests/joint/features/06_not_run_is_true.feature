Feature: A call that is refused as not run was never run
  Scenario: A backend server dies while the regions are disconnected
    Given a mesh of two halves in two regions
    And 10 percent of the answers between nodes are lost
    When the regions are disconnected
    And a backend server of catalogue dies
    And callers place orders for 30 seconds
    Then no order that was refused as not run was run
