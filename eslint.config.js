import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', '**/generated/**', 'reports/**', 'target/**'] }),
  {
    files: ['**/*.ts'],
    rules: {
      'no-void': 'off',
      'no-use-before-define': 'off',
      // A type and the constant that creates its values may share a name.
      '@typescript-eslint/no-redeclare': 'off',
      'max-lines': ['error', { max: 400 }]
    }
  }
]
